// Command probing shows open flows whose packets reach several wrong hosts and never their own, which
// lives: agents and balancers were stopped and started in turn, as planned.
package main

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"burlmill.test/review/lab"
)

const (
	desk        = "drawings-intake"
	slots       = 5
	work        = 40 * time.Millisecond
	heartbeat   = 1200 * time.Millisecond // heartbeatMs
	gap         = 200 * time.Millisecond  // between two machines of a layer
	restart     = 500 * time.Millisecond  // from a process's end to its next start
	edgesAfter  = 3600 * time.Millisecond // from the first agent's SIGTERM to the first balancer's
	openedFlows = 60                      // that clients keep for many requests, with pauses
	agentCount  = 8
	flowTime    = 2 * time.Second         // flowMs
	deadline    = 5 * time.Second         // of plan-upload
	pause       = 3500 * time.Millisecond // of the clients, after the last start
)

var route = lab.Route{Name: "plan-upload", Address: netip.MustParseAddrPort("198.18.0.1:8443"), Service: desk, Type: "upload"}

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

	// The clients go on: each makes its next request.
	time.Sleep(pause)
	resumed := time.Now()
	var group sync.WaitGroup
	var mutex sync.Mutex
	unanswered := 0
	for i, flow := range kept {
		group.Go(func() {
			id := fmt.Sprintf("second-%d", i)
			record.Line("request %s is sent on flow %v through %s; held by host %q", id, flow.Key, s.Router.Target(flow.Key, route.Address), holder(hosts, flow))
			answer, err := flow.Request(id, deadline)
			record.Line("request %s: answer %v, error %v; flow held by host %q", id, answer, err, holder(hosts, flow))
			if errors.Is(err, lab.ErrSilent) {
				mutex.Lock()
				unanswered++
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	strayed := 0
	for _, flow := range kept {
		if strayedBeyond(record, hosts, flow, resumed) {
			strayed++
		}
	}
	record.Line("%d requests were not answered until their deadline; the packets of %d of %d kept flows reached only wrong hosts for over flowMs", unanswered, strayed, len(kept))
	return strayed > 0, nil
}

// strayedBeyond reports whether three or more packets of the flow reached other hosts, over flowMs or
// longer, and none its own host in that time, while that host holds the flow.
func strayedBeyond(record *lab.Record, hosts []*lab.Host, flow *lab.Flow, resumed time.Time) bool {
	own := holder(hosts, flow)
	if own == "" {
		return false
	}
	var wrong, right []time.Time
	var names []string
	for _, host := range hosts {
		for _, a := range host.Arrivals(flow.Key, flow.Route) {
			switch {
			case a.At.Before(resumed):
			case host.ID == own:
				right = append(right, a.At)
			default:
				wrong = append(wrong, a.At)
				names = append(names, fmt.Sprintf("%s at %.3f", host.ID, record.Seconds(a.At)))
			}
		}
	}
	slices.SortFunc(wrong, time.Time.Compare)
	slices.SortFunc(right, time.Time.Compare)
	if len(right) > 0 { // what came later is no matter
		wrong = slices.DeleteFunc(wrong, func(at time.Time) bool { return at.After(right[0]) })
	}
	if len(wrong) < 3 || wrong[len(wrong)-1].Sub(wrong[0]) < flowTime {
		return false
	}
	record.Line("FLOW: packets of flow %v, which host %s holds, reached %v, over %.1f s, and none its own host meanwhile", flow.Key, own, names, wrong[len(wrong)-1].Sub(wrong[0]).Seconds())
	return true
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
