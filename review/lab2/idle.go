package main

import (
	"fmt"
	"sync"
	"time"
)

// Times of idleFlowProof.
const (
	idleTimeout     = 5 * time.Second        // idleTimeoutMs of the configuration
	idlePause       = 6 * time.Second        // of a client that rests; within 10 s of the host's last packet
	idleDownTime    = 300 * time.Millisecond // of the host that crashes
	idleOpenTime    = 900 * time.Millisecond // during which clients open flows after its start
	idleWatchTime   = 8 * time.Second
	idleRequestGap  = 500 * time.Millisecond
	idleFlowSpacing = 10 * time.Millisecond
)

// resetFlow is a reset of an open flow that its host did not send.
type resetFlow struct {
	flow    *clientFlow
	at      time.Time
	resting time.Duration
	heldBy  *host
}

// idleFlowProof: a host crashes and starts again at once. Clients open flows of many requests, some
// of which rest for longer than idleTimeoutMs, so that their hosts forget them.
func idleFlowProof(l *lab) ([]string, error) {
	l.idleTimeout = idleTimeout
	d, err := l.deploy(3, 7, 30*time.Millisecond, idleTimeout)
	if err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	hosts := append([]*host{}, d.hosts...)
	if l.trouble {
		d.hosts[0].stop()
		time.Sleep(idleDownTime)
		restarted, err := l.startHost(d.agents[0], hostOptions{id: "i-1-again", service: serviceName, work: 30 * time.Millisecond, idle: idleTimeout, firstBeat: heartbeatInterval})
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, restarted)
	}
	var (
		flows  sync.WaitGroup
		mutex  sync.Mutex
		resets []resetFlow
	)
	end := time.Now().Add(idleOpenTime + idleWatchTime)
	for number := 0; time.Now().Before(end.Add(-idleWatchTime)); number++ {
		flows.Go(func() {
			f, err := d.client.connect(d.route)
			if err != nil {
				l.record.add("client: flow %s did not open: %v", f.key.client, err)
				return
			}
			defer f.closeFlow()
			err = f.runRequests(number, end)
			if err != errReset {
				return
			}
			reset := resetFlow{flow: f, at: time.Now(), resting: time.Since(f.lastActive)}
			for _, h := range hosts {
				if h.holds(f.key) {
					reset.heldBy = h
				}
			}
			mutex.Lock()
			resets = append(resets, reset)
			mutex.Unlock()
		})
		time.Sleep(idleFlowSpacing)
	}
	flows.Wait()
	return judgeResets(l, resets), nil
}

// runRequests sends requests on the flow until the end. Every second flow rests after its first
// request for longer than the idle time, the others send regularly.
func (f *clientFlow) runRequests(number int, end time.Time) error {
	rests := number%2 == 1
	for request := 0; time.Now().Before(end); request++ {
		id := fmt.Sprintf("q-%d-%d", number, request)
		if _, err := f.request(id, 3*time.Second); err != nil {
			f.client.lab.record.add("client: %s on %s: %v", id, f.key.client, err)
			return err
		}
		pause := idleRequestGap
		if rests {
			pause = idlePause
		}
		if err := f.rest(pause); err != nil {
			f.client.lab.record.add("client: flow %s is reset while it waits for its next request", f.key.client)
			return err
		}
	}
	return nil
}

// judgeResets returns the resets that break the rule: the host holds the flow and has run for
// longer than contactMs, and the flow has not rested for idleTimeoutMs.
func judgeResets(l *lab, resets []resetFlow) []string {
	broken, excused := 0, 0
	var example resetFlow
	for _, reset := range resets {
		if reset.heldBy == nil || reset.at.Sub(reset.heldBy.startedAt) < contactTime || reset.resting >= l.idleTimeout {
			excused++
			continue
		}
		broken++
		example = reset
		l.record.add("flow %s of host %s was reset at %.3f though its host holds it; it had rested for %.2f s", reset.flow.key.client, reset.heldBy.id, l.record.at(reset.at), reset.resting.Seconds())
	}
	l.record.add("resets of open flows that their host holds: %d; other resets: %d", broken, excused)
	if broken == 0 {
		return nil
	}
	return []string{fmt.Sprintf("FLOW: %d open flows were reset by the system while their host, up for over %v, held them; for example the flow of %s at %s", broken, contactTime, example.flow.key.client, example.heldBy.id)}
}
