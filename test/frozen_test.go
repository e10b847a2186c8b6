package test

import (
	"slices"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/internal/lab/backend"
	"github.com/burlmill/burlmill/internal/lab/caller"
	"github.com/burlmill/burlmill/internal/lab/cluster"
)

// frozenBackends is a deployment that remembers which back ends were cut off by
// freezing their agents.
type frozenBackends struct {
	*deployment
	frozen []catalog.BackendID
}

// freeze freezes the agent beside a back end.
func (f *frozenBackends) freeze(member *cluster.Backend) {
	f.frozen = append(f.frozen, member.ID)
	member.Agent.Process.Freeze()
}

// wasFrozen says whether the back end's agent was frozen at some time.
func (f *frozenBackends) wasFrozen(id catalog.BackendID) bool { return slices.Contains(f.frozen, id) }

// judgeFlows is deployment.judgeFlows but for flows at a frozen back end, which
// cannot be reached meanwhile.
func (f *frozenBackends) judgeFlows(result caller.Result) {
	f.t.Helper()
	f.logFlows(result)
	broken := slices.DeleteFunc(result.BrokenFlows, func(broken caller.BrokenFlow) bool { return f.wasFrozen(broken.Backend) })
	if len(broken) > 0 {
		f.t.Errorf("broken although the back end could be reached: %v", broken)
	}
	if result.Unanswered+result.Misrouted+result.Wrong > 0 {
		f.t.Error("flows were not answered, or answered wrongly")
	}
	f.judge(result)
}

// judgeRequests is deployment.judgeRequests but for requests without an answer: a
// frozen agent gives none.
func (f *frozenBackends) judgeRequests(result caller.Result) {
	f.t.Helper()
	f.logRequests(result)
	if result.Wrong+result.Misrouted > 0 {
		f.t.Error("requests with a wrong or misrouted answer")
	}
	f.judge(result)
}

// judge is judgeJournal, but for flows that were at a frozen back end first.
func (f *frozenBackends) judge(result caller.Result) {
	f.t.Helper()
	verdict := caller.Judge(result, f.journal)
	first := map[string]catalog.BackendID{}
	for _, sighting := range f.journal.Flows() {
		if _, known := first[sighting.Flow]; !known {
			first[sighting.Flow] = sighting.Backend
		}
	}
	verdict.SplitFlows = slices.DeleteFunc(verdict.SplitFlows, func(sighting backend.FlowSighting) bool {
		return f.wasFrozen(first[sighting.Flow])
	})
	if !verdict.Good() {
		f.t.Errorf("the journal contradicts: %+v", verdict)
	}
}
