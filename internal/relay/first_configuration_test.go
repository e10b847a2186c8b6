package relay

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/presence"
	"github.com/burlmill/burlmill/routing"
)

// addAgent starts an agent that fetches the configuration from the balancers, and returns it once it
// has one.
func (f *fleet) addAgent() *member {
	agent := &member{fleet: f, address: netip.MustParseAddrPort("10.200.0.1:7000"), role: presence.RoleAgent}
	f.mutex.Lock()
	f.members = append(f.members, agent)
	f.mutex.Unlock()
	agent.start()
	if agent.awaitConfiguration() == 0 {
		f.t.Fatal("the agent gets no configuration")
	}
	return agent
}

// awaitConfiguration waits until the process has a configuration, for configurationBound at most, and
// returns its version.
func (m *member) awaitConfiguration() routing.Version {
	for started := time.Now(); m.configurationVersion() == 0 && time.Since(started) < configurationBound; {
		time.Sleep(time.Millisecond)
	}
	return m.configurationVersion()
}

// TestStartingBalancerIgnoresOldConfigurationOfAgents guards against a balancer that starts while the
// store does not answer it, and serves by the configuration of an agent that is behind, although other
// balancers have the current one.
func TestStartingBalancerIgnoresOldConfigurationOfAgents(t *testing.T) {
	behind := 0
	for run := range 20 {
		runInFleet(t, 3, func(f *fleet) {
			agent := f.addAgent()
			time.Sleep(2 * agentFetchInterval)
			f.store.configure()
			time.Sleep(2 * agentFetchDelay) // the agent fetches the first change, and then pauses
			current := f.store.configure()
			time.Sleep(configurationBound)
			if agent.configurationVersion() < current {
				behind++
			}

			restarted := f.members[2]
			restarted.kill()
			restarted.seeds = []netip.AddrPort{agent.address}
			restarted.link.fail()
			restarted.start()
			if version := restarted.awaitConfiguration(); version != current {
				t.Errorf("run %d: the first version of the balancer is %d, want %d", run, version, current)
			}
		})
	}
	is.New(t).True(behind > 0)
}

// TestBalancerStartsWithConfigurationOfAgents guards against a balancer that never serves because the
// store does not answer and no other balancer runs, although agents have a configuration.
func TestBalancerStartsWithConfigurationOfAgents(t *testing.T) {
	runInFleet(t, 2, func(f *fleet) {
		agent := f.addAgent()
		for _, m := range f.members[:2] {
			m.kill()
		}
		f.members[0].seeds = []netip.AddrPort{agent.address}
		f.members[0].link.fail()
		f.members[0].start()
		is.New(t).Equal(f.members[0].awaitConfiguration(), agent.configurationVersion())
	})
}

// TestBalancersThatRestartTogetherUseConfigurationOfAgents guards against balancers that all restart
// while the store does not answer, and serve nobody before agentConfigurationDelay.
func TestBalancersThatRestartTogetherUseConfigurationOfAgents(t *testing.T) {
	runInFleet(t, 3, func(f *fleet) {
		agent := f.addAgent()
		balancers := f.members[:3]
		for _, m := range balancers {
			m.kill()
			m.link.fail()
		}
		for _, m := range balancers {
			m.seeds = []netip.AddrPort{agent.address}
			m.start()
		}
		time.Sleep(agentConfigurationDelay / 2)
		for _, m := range balancers {
			is.New(t).Equal(m.configurationVersion(), agent.configurationVersion())
		}
	})
}
