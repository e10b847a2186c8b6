package main

import (
	"fmt"
	"sync"
	"time"
)

// Times of drainAckLost.
const (
	drainLoadInterval = 25 * time.Millisecond
	drainKillDelay    = 100 * time.Millisecond // from the acknowledgement to the kill
	drainServesOn     = 14 * time.Second       // how long the host serves on after the acknowledgement
	falseHealthTime   = 6 * time.Second        // how long its health answers are false
)

// drainAckLost: a host that never says draining sends DELETE, which its agent acknowledges, and
// serves on. The agent is killed and started again while the host's health answers are false.
func drainAckLost(l *lab) ([]string, error) {
	d, err := l.deploy(3, 10, 40*time.Millisecond, 0)
	if err != nil {
		return nil, err
	}
	leaving, agent := d.hosts[0], d.agents[0]
	stop := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() { d.runShortFlows(stop) })
	time.Sleep(2 * time.Second)
	if l.trouble {
		leaving.mutex.Lock()
		leaving.saysWell = true
		leaving.mutex.Unlock()
	}
	if !leaving.leave() {
		return nil, fmt.Errorf("the DELETE was not acknowledged")
	}
	acknowledgedAt := time.Now()
	time.Sleep(drainKillDelay)
	inTouchFrom := acknowledgedAt
	if l.trouble {
		if err := agent.killAndRestart(restartDelay); err != nil {
			return nil, err
		}
		inTouchFrom = agent.startedAt.Add(contactTime)
	}
	time.Sleep(time.Until(acknowledgedAt.Add(falseHealthTime)))
	leaving.mutex.Lock()
	leaving.saysWell = false
	leaving.mutex.Unlock()
	time.Sleep(time.Until(acknowledgedAt.Add(drainServesOn)))
	leaving.stop()
	close(stop)
	load.Wait()
	return judgeDrain(l, leaving, acknowledgedAt, inTouchFrom), nil
}

// judgeDrain returns the flows whose opening packet reached the host later than drainMs after the
// acknowledgement, while its machine was in touch.
func judgeDrain(l *lab, h *host, acknowledgedAt, inTouchFrom time.Time) []string {
	late, excused := 0, 0
	var last time.Time
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, f := range h.opened {
		switch {
		case !f.syn.After(acknowledgedAt.Add(drainTime)):
		case f.syn.Before(inTouchFrom):
			excused++
		default:
			late++
			if f.syn.After(last) {
				last = f.syn
			}
		}
	}
	l.record.add("acknowledged at %.3f; its machine is in touch from %.3f; flows opened too late: %d, and %d while it was not in touch",
		l.record.at(acknowledgedAt), l.record.at(inTouchFrom), late, excused)
	if late == 0 {
		return nil
	}
	return []string{fmt.Sprintf("DRAIN: %d flows were opened at the host more than %v after its leave was acknowledged, by machines in touch; the last one %.1f s after", late, drainTime, last.Sub(acknowledgedAt).Seconds())}
}

// runShortFlows opens a flow for each request, at regular intervals, until stop is closed.
func (d *deployment) runShortFlows(stop chan struct{}) {
	var running sync.WaitGroup
	ticker := time.NewTicker(drainLoadInterval)
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-stop:
			running.Wait()
			return
		case <-ticker.C:
		}
		running.Go(func() {
			id := fmt.Sprintf("q-%d", number)
			f, err := d.client.connect(d.route)
			if err == nil {
				_, err = f.request(id, 3*time.Second)
			}
			if err != nil {
				d.client.lab.record.add("client: %s on %s: %v", id, f.key.client, err)
			}
			f.closeFlow()
		})
	}
}
