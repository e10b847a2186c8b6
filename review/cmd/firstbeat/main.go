// Command firstbeat shows a reset of an open flow whose host lives and holds it: a host's first
// heartbeat arrives late, at an agent that was killed and has started again.
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
	slots       = 2
	work        = 250 * time.Millisecond  // of each request; the site's reach up to 310 ms
	heartbeat   = 1200 * time.Millisecond // heartbeatMs
	contact     = 4 * time.Second         // contactMs
	restart     = 300 * time.Millisecond  // until a killed process is started again
	openedFlows = 24                      // by clients that keep a flow for many requests, with pauses
)

var route = lab.Route{Name: "consent-check", Address: netip.MustParseAddrPort("198.18.0.1:8443"), Service: desk, Type: "unsafe"}

func main() { os.Exit(lab.Main(run)) }

func run(record *lab.Record, binary string, trouble bool) (broken bool, err error) {
	late := trouble && os.Getenv("LATE") != "0" // LATE=0: the kills without the late heartbeat
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
	for i := range 2 {
		agent, err := s.Start("agent", s.NewMachine(fmt.Sprintf("side-%d", i+1)), desk)
		if err != nil {
			return false, err
		}
		agents = append(agents, agent)
	}
	other, err := lab.StartHost(record, agents[1].Machine, lab.HostOptions{ID: "i-other", Service: desk, Slots: slots, Work: work, InstanceHeader: true, Heartbeat: heartbeat})
	if err != nil {
		return false, err
	}
	client, err := lab.StartClient(record, s.Router, s.Network.IP())
	if err != nil {
		return false, err
	}
	defer client.Close()
	serving := func() bool {
		_, _, err := client.Exchange(route.Address, "warm", time.Second)
		return err == nil && s.Router.Ready() == 2
	}
	if !lab.Await(15*time.Second, serving) {
		return false, errors.New("the system did not begin to serve")
	}
	time.Sleep(3 * time.Second)

	// The host starts. Its first heartbeat is late; the others come in time.
	release := make(chan struct{})
	hold := func(callSeq int) bool {
		if late && callSeq == 1 {
			<-release
		}
		return true
	}
	host, err := lab.StartHost(record, agents[0].Machine, lab.HostOptions{ID: "i-new", Service: desk, Slots: slots, Work: work, InstanceHeader: true,
		Heartbeat: heartbeat, HoldHeartbeats: hold})
	if err != nil {
		return false, err
	}
	hostStarted := time.Now()
	_ = other

	// Clients open flows that they keep; each makes one request. Those that count are held by the new
	// host and come through edge-1.
	var kept []*lab.Flow
	var mutex sync.Mutex
	var group sync.WaitGroup
	for i := range openedFlows {
		group.Go(func() {
			flow, err := client.Open(route.Address)
			if err == nil { // it opens with its first request
				_, err = flow.Request(fmt.Sprintf("first-%d", i), 2500*time.Millisecond)
			}
			if err != nil || !host.Holds(flow.Key, route.Address) || s.Router.Target(flow.Key, route.Address) != "edge-1" {
				flow.Close()
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			kept = append(kept, flow)
			record.Line("flow %v is kept: its host is %s, its balancer edge-1", flow.Key, host.ID)
		})
		time.Sleep(50 * time.Millisecond)
	}
	group.Wait()
	if len(kept) == 0 {
		return false, errors.New("no kept flow is held by the new host")
	}

	// Other clients keep the hosts busy.
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { lab.Load(record, client, route, 12, 2500*time.Millisecond, stop) })
	// The kill comes between two heartbeats, while the host works.
	sinceBeat := time.Since(hostStarted) % heartbeat
	time.Sleep(heartbeat - sinceBeat + 200*time.Millisecond)
	if trouble {
		agents[0].Signal(syscall.SIGKILL)
		agents[0].Wait()
		time.Sleep(restart)
		agent, err := s.Start("agent", agents[0].Machine, desk)
		if err != nil {
			return false, err
		}
		if !agent.AwaitControl(2 * time.Second) {
			return false, errors.New("the agent did not start again")
		}
		agents[0] = agent
	}
	restartedAt := time.Now()
	close(release) // the late heartbeat arrives
	time.Sleep(time.Until(restartedAt.Add(contact + time.Second)))
	if trouble {
		balancers[0].Signal(syscall.SIGKILL)
		if !lab.Await(5*time.Second, func() bool { return s.Router.Ready() == 1 }) {
			return false, errors.New("the routers did not take edge-1 out")
		}
	}
	close(stop)
	clients.Wait()

	// The kept flows go on, through the other balancer.
	lost := 0
	for i, flow := range kept {
		group.Go(func() {
			id := fmt.Sprintf("second-%d", i)
			held := host.Holds(flow.Key, route.Address)
			record.Line("request %s is sent on flow %v through %s; host %s holds the flow: %t", id, flow.Key, s.Router.Target(flow.Key, route.Address), host.ID, held)
			answer, err := flow.Request(id, 2500*time.Millisecond)
			stillHeld := host.Holds(flow.Key, route.Address)
			record.Line("request %s: answer %v, error %v; host %s holds the flow: %t", id, answer, err, host.ID, stillHeld)
			if errors.Is(err, lab.ErrReset) && held && stillHeld {
				record.Line("FLOW: flow %v was reset; its host %s is alive, holds it and sent no reset; request %s has not run and is never answered", flow.Key, host.ID, id)
				mutex.Lock()
				lost++
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	record.Line("%d of %d kept flows were reset", lost, len(kept))
	for _, p := range append(balancers, agents...) {
		for _, line := range p.LogLines("backend-incarnation", "backend-state", "event=flow-lost", "event=lost", "nobody-holds-it") {
			record.Line("log of %s: %s", p.Name, line)
		}
	}
	return lost > 0, nil
}
