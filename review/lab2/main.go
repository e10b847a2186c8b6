package main

import (
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case could not run
)

// scenarios are the cases by name. Each returns the ways in which its rule was broken.
var scenarios = map[string]func(*lab) ([]string, error){
	"drain-ack-lost":  drainAckLost,
	"idle-flow-proof": idleFlowProof,
	"old-beat-late":   oldBeatLate,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-lab2 SCENARIO CASE-FOLDER, in the root of the repository")
		os.Exit(exitFailed)
	}
	os.Exit(run(scenarios[os.Args[1]], os.Args[2]))
}

func run(scenario func(*lab) ([]string, error), folder string) int {
	l, err := newLab(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitFailed
	}
	defer l.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		l.close()
		os.Exit(exitFailed)
	}()
	broken, err := scenario(l)
	if err != nil {
		l.record.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitFailed
	}
	for _, way := range broken {
		l.record.add("BROKEN: %s", way)
		fmt.Println("broken:", way)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	l.record.add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

const serviceName = "lessons"

// deployment is a deployment with one service.
type deployment struct {
	balancers, agents []*machine
	hosts             []*host
	router            *router
	client            *client
	route             netip.AddrPort
}

// deploy starts the machines, hosts and clients, and waits until every host serves.
func (l *lab) deploy(balancers, agents int, work, idle time.Duration) (*deployment, error) {
	d := &deployment{}
	d.route = netip.MustParseAddrPort(l.prefix + ".250:443")
	l.putConfiguration(1, d.route, idle)
	for i := range balancers {
		m, err := l.addMachine(fmt.Sprintf("edge-%d", i+1), "balancer", "")
		if err != nil {
			return nil, err
		}
		d.balancers = append(d.balancers, m)
	}
	for i := range agents {
		m, err := l.addMachine(fmt.Sprintf("side-%d", i+1), "agent", serviceName)
		if err != nil {
			return nil, err
		}
		d.agents = append(d.agents, m)
		h, err := l.startHost(m, hostOptions{id: fmt.Sprintf("i-%d", i+1), service: serviceName, work: work, idle: idle})
		if err != nil {
			return nil, err
		}
		d.hosts = append(d.hosts, h)
	}
	d.router = l.startRouter(d.balancers)
	var err error
	if d.client, err = l.startClient(d.router); err != nil {
		return nil, err
	}
	return d, d.awaitServing()
}

// putConfiguration writes a version of the configuration.
func (l *lab) putConfiguration(version int, route netip.AddrPort, idle time.Duration) {
	if idle == 0 {
		idle = 15 * time.Second
	}
	l.store.put("config", "main", map[string]any{
		"version": version,
		"routes": []map[string]any{{"name": "r-1", "host": route.Addr().String(), "pathPrefix": fmt.Sprintf("/%d/", route.Port()), "type": "unsafe",
			"timeoutMs": 3000, "targetLatencyMs": 300, "priority": 1, "service": serviceName, "maxAttempts": 2}},
		"services": []map[string]any{{"name": serviceName, "healthPath": "/health", "maxConns": 2000, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": idle.Milliseconds()},
	})
}

// awaitServing waits until all balancers are in and every host has run a request.
func (d *deployment) awaitServing() error {
	for deadline := time.Now().Add(25 * time.Second); time.Now().Before(deadline); {
		if d.router.countIn() < len(d.balancers) {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		f, err := d.client.connect(d.route)
		if err == nil {
			_, _ = f.request("warm", time.Second)
		}
		f.closeFlow()
		serving := 0
		for _, h := range d.hosts {
			h.mutex.Lock()
			if h.ran > 0 {
				serving++
			}
			h.mutex.Unlock()
		}
		if serving == len(d.hosts) {
			return nil
		}
	}
	return fmt.Errorf("the deployment does not serve")
}
