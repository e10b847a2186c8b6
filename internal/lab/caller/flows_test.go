// This file tests UDP flows with sockets and through an Injector: which replies count as valid,
// when a flow counts as broken, unanswered or moved, that ended flows are removed from the
// Injector, and that a stall of the load generator ends no flow and causes neither a burst nor a
// deadlock. It also contains helpers of the other tests of this package.

package caller

import (
	"bytes"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/internal/lab/backend"
)

// waitTimeout is the timeout of the loads and waits in the tests of this package.
const waitTimeout = 10 * time.Second

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// Guards against counting an invalid, misrouted or missing reply as a valid one.
func TestFlowStateChecksReplies(t *testing.T) {
	const replyTimeout = time.Second
	start := time.Unix(1000, 0)
	tests := []struct {
		name    string
		replies []string // with %s for the flow's name
		silence time.Duration
		want    Result
	}{
		{"good", []string{"s/a|%s|0|", "s/a|%s|1|"}, 0, Result{FlowsAnswered: 1, Replies: 2}},
		{"moved", []string{"s/a|%s|0|", "s/b|%s|1|"}, 0, Result{FlowsAnswered: 1, Replies: 1, FlowsBroken: 1, FlowsMoved: 1}},
		{"other service", []string{"t/a|%s|0|"}, 0, Result{Misrouted: 1}},
		{"other flow", []string{"s/a|x%s|0|"}, 0, Result{Wrong: 1}},
		{"never sent", []string{"s/a|%s|2|"}, 0, Result{Wrong: 1}},
		{"unreadable", []string{"%s"}, 0, Result{Wrong: 1}},
		{"silent", []string{"s/a|%s|0|"}, replyTimeout, Result{FlowsAnswered: 1, Replies: 1, FlowsBroken: 1}},
		{"unanswered", nil, replyTimeout, Result{FlowsUnanswered: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			result := NewResult()
			state := newFlowState(&FlowLoad{Service: "s", ReplyTimeout: replyTimeout}, start, &result)
			state.nextDatagram(start, &result)
			state.nextDatagram(start, &result)
			for _, reply := range test.replies {
				state.receive(start, fmt.Appendf(nil, reply, state.name), &result)
			}
			state.checkReplyTimeout(start.Add(test.silence), &result)
			is.Equal(state.ended, test.want.FlowsBroken+test.want.FlowsUnanswered > 0)
			for range test.want.FlowsBroken {
				test.want.BrokenFlows = append(test.want.BrokenFlows, BrokenFlow{Flow: state.name, Backend: "a"})
			}
			for range test.want.FlowsUnanswered {
				test.want.UnansweredFlows = append(test.want.UnansweredFlows, UnansweredFlow{Flow: state.name, StartTime: start, EndTime: start.Add(test.silence)})
			}
			test.want.Flows, test.want.DatagramsSent, result.Latency = 1, 2, nil
			is.Equal(result, test.want)
		})
	}
}

func startBackend(t *testing.T) *backend.Backend {
	t.Helper()
	server, err := backend.Start(backend.Options{ID: "a", Service: "s", Address: anyPort})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return server
}

// Flows to a working back end must not count as broken; flows to a stopped one must.
func TestFlowsAnsweredThenBroken(t *testing.T) {
	is := is.New(t)
	server := startBackend(t)
	load := FlowLoad{
		Service:      "s",
		Address:      server.Address(),
		Flows:        5,
		Interval:     5 * time.Millisecond,
		Lifetime:     50 * time.Millisecond,
		ReplyTimeout: waitTimeout,
	}
	run := StartFlows(load)
	eventually(t, "flows follow one another", func() bool { return run.Snapshot().Flows > 10 })
	result := run.Stop()
	is.Equal(result.FlowsAnswered, result.Flows)
	is.Equal(result.FlowsBroken+result.FlowsUnanswered+result.Wrong+result.Misrouted, uint64(0))
	is.True(result.Latency.TotalCount() > 0)
	is.True(FindViolations(result, server.Journal()).Empty())

	load.Lifetime, load.ReplyTimeout = 0, 200*time.Millisecond
	run = StartFlows(load)
	eventually(t, "every flow is answered", func() bool { return run.Snapshot().FlowsAnswered == 5 })
	is.NoErr(server.Close())
	eventually(t, "every flow is broken", func() bool { return run.Snapshot().FlowsBroken == 5 })
	is.Equal(run.Stop().FlowsMoved, uint64(0))
}

// scriptedInjector replies to each datagram immediately, as the back end stored in backend.
type scriptedInjector struct {
	backend atomic.Value // string
	mutex   sync.Mutex
	keys    map[flow.Key]bool
}

func (s *scriptedInjector) Inject(key flow.Key, payload []byte, reply func([]byte)) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.keys[key] = true
	reply(bytes.Join([][]byte{[]byte("s/" + s.backend.Load().(string)), payload}, []byte("|")))
	return nil
}

func (s *scriptedInjector) Forget(key flow.Key) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.keys, key)
}

// After a stall of the driver, it must send one datagram of each flow instead of all that were due,
// must read replies while it sends, and must not count a flow as broken or unanswered.
func TestInjectionDriverAfterStall(t *testing.T) {
	is := is.New(t)
	const flows = 2 * maxQueuedReplies
	const interval = 20 * time.Millisecond
	const stall = 10 * time.Second
	injector := &scriptedInjector{keys: map[flow.Key]bool{}}
	injector.backend.Store("a")
	started := time.Now()
	driver := &injectionDriver{
		load: FlowLoad{
			Service:      "s",
			Address:      netip.MustParseAddrPort("127.0.0.1:7"),
			Flows:        flows,
			Interval:     interval,
			ReplyTimeout: 15 * interval,
		},
		injector:  injector,
		run:       newRun(),
		flows:     make([]*injectedFlow, flows),
		replies:   make(chan injectedReply, maxQueuedReplies),
		done:      make(chan struct{}),
		startTime: started,
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		driver.sendDue(started.Add(interval))
		driver.sendDue(started.Add(stall))
	}()
	select {
	case <-ended:
	case <-time.After(waitTimeout):
		close(driver.done) // unblocks the goroutine
		t.Fatal("driver deadlocked: replies are not read during sending")
	}
	result := driver.run.Snapshot()
	is.Equal(result.DatagramsSent, uint64(2*flows))
	is.Equal(result.FlowsBroken+result.FlowsUnanswered, uint64(0))
}

// After a stall longer than the reply timeout, a flow must not time out before it has sent
// ReplyTimeout/Interval datagrams without a reply.
func TestReplyTimeoutRequiresSentDatagrams(t *testing.T) {
	is := is.New(t)
	const interval = 200 * time.Millisecond
	load := &FlowLoad{Service: "s", Interval: interval, ReplyTimeout: 15 * interval}
	start := time.Unix(1000, 0)
	result := NewResult()
	state := newFlowState(load, start, &result)
	state.nextDatagram(start, &result)
	state.receive(start, fmt.Appendf(nil, "s/a|%s|0|", state.name), &result)
	now := start.Add(time.Minute)
	for range 14 {
		state.nextDatagram(now, &result)
		state.checkReplyTimeout(now, &result)
		is.True(!state.ended)
		now = now.Add(interval)
	}
	state.nextDatagram(now, &result)
	state.checkReplyTimeout(now, &result)
	is.True(state.ended)
	is.Equal(result.FlowsBroken, uint64(1))
}

// Each flow whose back end changes must count as moved and as broken, and its key must be
// removed from the injector.
func TestInjectedFlowsDetectBackendChange(t *testing.T) {
	is := is.New(t)
	const flows = 500
	injector := &scriptedInjector{keys: map[flow.Key]bool{}}
	injector.backend.Store("a")
	run := StartInjectedFlows(FlowLoad{
		Service:      "s",
		Address:      netip.MustParseAddrPort("127.0.0.1:7"),
		Flows:        flows,
		Interval:     20 * time.Millisecond,
		ReplyTimeout: waitTimeout,
	}, injector)
	eventually(t, "every flow is answered", func() bool { return run.Snapshot().FlowsAnswered == flows })
	injector.backend.Store("b")
	eventually(t, "every flow has moved", func() bool { return run.Snapshot().FlowsMoved == flows })
	result := run.Stop()
	is.Equal(result.FlowsBroken, uint64(flows))
	is.Equal(result.FlowsAnswered, result.Flows)
	is.Equal(len(injector.keys), 0)
}
