// Command forgotten shows new flows that reach a host long after its DELETE was acknowledged: the agent
// that acknowledged it is killed and starts again, and the host's health answers are false.
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
	gantry    = "gantry-svc"
	slots     = 3
	work      = 72 * time.Millisecond
	heartbeat = 1200 * time.Millisecond // heartbeatMs
	contact   = 5 * time.Second         // contactMs of the site
	drain     = 5 * time.Second         // drainMs of the site
	longer    = 6 * time.Second         // how much longer than drainMs the host serves on
	perSecond = 50                      // one host alone manages 41
)

var route = lab.Route{Name: "toll-charge", Address: netip.MustParseAddrPort("198.18.0.1:8443"), Service: gantry, Type: "unsafe"}

func main() { os.Exit(lab.Main(run)) }

func run(record *lab.Record, binary string, trouble bool) (broken bool, err error) {
	header := os.Getenv("HEADER") != "0" // health answers with X-Burlmill-Instance-Id, as the bench's hosts send it
	s, err := lab.NewSystem(record, binary, lab.Bounds{FlowMaxS: 60, GraceS: 6, HeartbeatMs: 1200})
	if err != nil {
		return false, err
	}
	defer s.Close()
	s.PutConfiguration(4, []lab.Route{route}, []string{gantry})
	for i := range 2 {
		if _, err := s.Start("balancer", s.NewMachine(fmt.Sprintf("edge-%d", i+1)), ""); err != nil {
			return false, err
		}
	}
	var machines []lab.Machine
	var agents []*lab.Process
	for i := range 2 {
		m := s.NewMachine(fmt.Sprintf("side-%d", i+1))
		agent, err := s.Start("agent", m, gantry)
		if err != nil {
			return false, err
		}
		machines, agents = append(machines, m), append(agents, agent)
	}
	options := lab.HostOptions{Service: gantry, Slots: slots, Work: work, InstanceHeader: header, Heartbeat: heartbeat}
	start := func(m lab.Machine, id string, hold func(int) bool) (*lab.Host, error) {
		o := options
		o.ID, o.HoldHeartbeats = id, hold
		return lab.StartHost(record, m, o)
	}
	if _, err := start(machines[1], "i-other", nil); err != nil {
		return false, err
	}
	second, err := start(machines[0], "i-leaving", nil)
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
		return err == nil && s.Router.Ready() == 2 && len(second.Runs()) > 0
	}
	if !lab.Await(15*time.Second, serving) {
		return false, errors.New("the system did not begin to serve")
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { lab.Load(record, client, route, perSecond, 2500*time.Millisecond, stop) })
	time.Sleep(3 * time.Second)

	// The host leaves. It never says draining: it sends DELETE first, and serves on.
	if trouble {
		second.LyingHealth.Store(true)
		record.Line("the health answers of host %s are false from now on: it says well", second.ID)
	}
	if !second.Remove() {
		return false, errors.New("the DELETE was not acknowledged")
	}
	acknowledged := time.Now()
	record.Line("the DELETE of host %s is acknowledged", second.ID)
	time.Sleep(200 * time.Millisecond)
	if trouble {
		agents[0].Signal(syscall.SIGKILL)
		agents[0].Wait()
		time.Sleep(300 * time.Millisecond)
		agent, err := s.Start("agent", machines[0], gantry)
		if err != nil {
			return false, err
		}
		agents[0] = agent
	}
	inTouch := time.Now().Add(contact)
	time.Sleep(time.Until(acknowledged.Add(drain + longer)))
	second.Crash("its planned end")
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()

	late, cutOff := 0, 0
	for _, r := range second.Runs() {
		after := r.OpenedAt.Sub(acknowledged)
		if after <= drain || r.OpenedAt.Before(inTouch) {
			continue
		}
		late++
		outcome := ""
		if r.AnsweredAt.IsZero() {
			cutOff++
			outcome = "; the host ended before it was answered: it is never answered"
		}
		record.Line("DRAIN: the flow of request %s reached host %s %.1f s after the acknowledgement of its DELETE%s", r.Request, r.Host, after.Seconds(), outcome)
	}
	record.Line("%d requests reached host %s more than drainMs after the acknowledgement; %d of them are never answered", late, second.ID, cutOff)
	for _, line := range agents[0].LogLines("backend-incarnation", "backend-state") {
		record.Line("log of %s: %s", agents[0].Name, line)
	}
	return late > 0, nil
}
