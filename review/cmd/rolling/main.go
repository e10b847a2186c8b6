// Command rolling shows resets of open flows whose hosts live: agents and balancers are stopped and
// started in turn, as planned, and a balancer takes this for a kill of all processes at once.
package main

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"burlmill.test/review/lab"
)

const (
	desk        = "applications-desk"
	slots       = 5
	work        = 40 * time.Millisecond
	heartbeat   = 1200 * time.Millisecond // heartbeatMs
	gap         = 300 * time.Millisecond  // between two machines of a layer
	restart     = 500 * time.Millisecond  // from a process's end to its next start
	edgesAfter  = 3600 * time.Millisecond // from the first agent's SIGTERM to the first balancer's
	openedFlows = 30                      // that clients keep for many requests, with pauses
	agentCount  = 5
)

var route = lab.Route{Name: "status-feed", Address: netip.MustParseAddrPort("198.18.0.1:8443"), Service: desk, Type: "safe"}

func main() { os.Exit(lab.Main(run)) }

func run(record *lab.Record, binary string, trouble bool) (broken bool, err error) {
	s, err := lab.NewSystem(record, binary, lab.Bounds{FlowMaxS: 60, GraceS: 6, HeartbeatMs: 1200})
	if err != nil {
		return false, err
	}
	defer s.Close()
	s.PutConfiguration(4, []lab.Route{route}, []string{desk})
	var balancers, agents []*lab.Process
	for i := range 2 {
		balancer, err := s.Start("balancer", s.NewMachine(fmt.Sprintf("edge-%d", i+1)), "")
		if err != nil {
			return false, err
		}
		balancers = append(balancers, balancer)
	}
	var hosts []*lab.Host
	for i := range agentCount {
		agent, err := s.Start("agent", s.NewMachine(fmt.Sprintf("side-%d", i+1)), desk)
		if err != nil {
			return false, err
		}
		host, err := lab.StartHost(record, agent.Machine, lab.HostOptions{ID: fmt.Sprintf("i-%d", i+1), Service: desk, Slots: slots, Work: work,
			InstanceHeader: os.Getenv("HEADER") != "0", Heartbeat: heartbeat})
		if err != nil {
			return false, err
		}
		agents, hosts = append(agents, agent), append(hosts, host)
	}
	client, err := lab.StartClient(record, s.Router, s.Network.IP())
	if err != nil {
		return false, err
	}
	defer client.Close()
	serving := func() bool {
		_, _, err := client.Exchange(route.Address, "warm", time.Second)
		return err == nil && s.Router.Ready() == len(balancers)
	}
	if !lab.Await(15*time.Second, serving) {
		return false, errors.New("the system did not begin to serve")
	}
	time.Sleep(5 * time.Second) // contactMs has passed since the start

	var kept []*lab.Flow
	for i := range openedFlows {
		flow, err := client.Open(route.Address)
		if err == nil { // it opens with its first request
			_, err = flow.Request(fmt.Sprintf("first-%d", i), 2*time.Second)
		}
		if err != nil {
			return false, fmt.Errorf("flow %d: %w", i, err)
		}
		kept = append(kept, flow)
	}
	if trouble {
		roll(s, agents, balancers)
	} else {
		time.Sleep(7 * time.Second)
	}

	// The clients go on.
	reset := 0
	var group sync.WaitGroup
	var mutex sync.Mutex
	for i, flow := range kept {
		group.Go(func() {
			host := holder(hosts, flow)
			id := fmt.Sprintf("second-%d", i)
			record.Line("request %s is sent on flow %v through %s; held by host %q", id, flow.Key, s.Router.Target(flow.Key, route.Address), host)
			answer, err := flow.Request(id, 2*time.Second)
			record.Line("request %s: answer %v, error %v; flow held by host %q", id, answer, err, holder(hosts, flow))
			if errors.Is(err, lab.ErrReset) && host != "" && holder(hosts, flow) == host {
				record.Line("FLOW: flow %v was reset; its host %s is alive, holds it and sent no reset", flow.Key, host)
				mutex.Lock()
				reset++
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	record.Line("%d of %d kept flows were reset", reset, len(kept))
	for _, p := range balancers {
		for _, line := range p.LogLines("flow-broken-off") {
			record.Line("log of %s: %s", p.Name, line)
		}
	}
	return reset > 0, nil
}

// roll stops and starts the machines of each layer in turn, and waits until the routers use all
// balancers again.
func roll(s *lab.System, agents, balancers []*lab.Process) {
	var group sync.WaitGroup
	layer := func(after time.Duration, processes []*lab.Process, service string) {
		for i, p := range processes {
			group.Go(func() {
				time.Sleep(after + time.Duration(i)*gap)
				p.Signal(syscall.SIGTERM)
				p.Wait()
				time.Sleep(restart)
				if next, err := s.Start(p.Role, p.Machine, service); err == nil {
					processes[i] = next
				}
			})
		}
	}
	layer(0, agents, desk)
	layer(edgesAfter, balancers, "")
	group.Wait()
	lab.Await(3*time.Second, func() bool { return s.Router.Ready() == len(balancers) })
}

// holder returns the id of the host that holds the flow, "" if none does.
func holder(hosts []*lab.Host, flow *lab.Flow) string {
	for _, host := range hosts {
		if host.Holds(flow.Key, flow.Route) {
			return host.ID
		}
	}
	return ""
}
