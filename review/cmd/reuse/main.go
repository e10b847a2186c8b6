// Command reuse shows a request that runs at a host of a service to which no configuration lets it
// go: a host crashes for good and another service reuses its address.
package main

import (
	"fmt"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"burlmill.test/review/lab"
)

const (
	lobby, replays = "lobby", "replays"
	slots          = 2
	work           = 29 * time.Millisecond
	heartbeat      = 1200 * time.Millisecond // heartbeatMs
	addrReuse      = 2 * time.Second         // addrReuseS of the site
	lateBy         = 2 * time.Second         // of the new host's first heartbeat
	perSecond      = 90                      // tickets; one host alone manages 69
)

var routes = []lab.Route{
	{Name: "join-ticket", Address: netip.MustParseAddrPort("198.18.0.1:8443"), Service: lobby, Type: "unsafe"},
	{Name: "ghost-fetch", Address: netip.MustParseAddrPort("198.18.0.2:8443"), Service: replays, Type: "download"},
}

func main() { os.Exit(lab.Main(run)) }

func run(record *lab.Record, binary string, trouble bool) (broken bool, err error) {
	s, err := lab.NewSystem(record, binary, lab.Bounds{FlowMaxS: 60, GraceS: 6, HeartbeatMs: 1200})
	if err != nil {
		return false, err
	}
	defer s.Close()
	s.PutConfiguration(4, routes, []string{lobby, replays})
	for i := range 2 {
		if _, err := s.Start("balancer", s.NewMachine(fmt.Sprintf("edge-%d", i+1)), ""); err != nil {
			return false, err
		}
	}
	var hosts []*lab.Host
	start := func(m lab.Machine, id, service string, hold func(int) bool) error {
		host, err := lab.StartHost(record, m, lab.HostOptions{ID: id, Service: service, Slots: slots, Work: work, InstanceHeader: os.Getenv("HEADER") != "0",
			Heartbeat: heartbeat, HoldHeartbeats: hold})
		if err == nil {
			hosts = append(hosts, host)
		}
		return err
	}
	var agents []*lab.Process
	for i, service := range []string{lobby, lobby, replays} {
		m := s.NewMachine(fmt.Sprintf("side-%d", i+1))
		agent, err := s.Start("agent", m, service)
		if err != nil {
			return false, err
		}
		agents = append(agents, agent)
		if err := start(m, fmt.Sprintf("i-%s-%d", service, i+1), service, nil); err != nil {
			return false, err
		}
	}
	client, err := lab.StartClient(record, s.Router, s.Network.IP())
	if err != nil {
		return false, err
	}
	defer client.Close()
	serving := func() bool {
		for i, route := range routes {
			if _, _, err := client.Exchange(route.Address, fmt.Sprintf("warm-%d", i), time.Second); err != nil {
				return false
			}
		}
		return s.Router.Ready() == 2
	}
	if !lab.Await(15*time.Second, serving) {
		return false, fmt.Errorf("the system did not begin to serve")
	}

	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, route := range routes {
		rate := perSecond
		if i > 0 {
			rate = 10
		}
		clients.Go(func() { lab.Load(record, client, route, rate, 2500*time.Millisecond, stop) })
	}
	time.Sleep(6 * time.Second)
	if trouble {
		machine := agents[0].Machine
		hosts[0].Crash("it crashes and is lost for good")
		time.Sleep(addrReuse)
		record.Line("the address of %s goes to service %s: the settings of %s change, with SIGHUP", hosts[0].ID, replays, machine.Name)
		s.WriteSettings(machine, replays)
		agents[0].Signal(syscall.SIGHUP)
		time.Sleep(100 * time.Millisecond)
		late := func(callSeq int) bool {
			if callSeq == 1 {
				time.Sleep(lateBy)
			}
			return true
		}
		if err := start(machine, "i-replays-new", replays, late); err != nil {
			return false, err
		}
	}
	time.Sleep(6 * time.Second)
	close(stop)
	clients.Wait()

	wrong := 0
	for _, host := range hosts {
		for _, r := range host.Runs() {
			for _, route := range routes {
				if route.Address == r.Route && route.Service != r.Service {
					wrong++
					record.Line("ROUTE: request %s of route %s, which every configuration sends to %s, ran at host %s of service %s", r.Request, route.Name, route.Service, r.Host, r.Service)
				}
			}
		}
	}
	record.Line("%d requests ran at a service that no configuration lets them go to", wrong)
	for _, line := range agents[0].LogLines("settings-reloaded", "backend-state", "backend-incarnation") {
		record.Line("log of %s: %s", agents[0].Name, line)
	}
	return wrong > 0, nil
}
