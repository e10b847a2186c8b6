package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Parameters of plannedRoll.
const (
	rollAtATime  = 4                       // machines that are stopped at a time
	rollGap      = 1300 * time.Millisecond // between two steps
	rollClients  = 80                      // flows that are open at a time
	rollWarmTime = 6 * time.Second         // until the roll begins
	rollTime     = 22 * time.Second        // of the load, from the start of the roll
	rollPatience = 6 * time.Second         // deadline of a request
	rollMinRest  = 500 * time.Millisecond  // between two requests of a flow
	rollMaxRest  = 5500 * time.Millisecond // the same
)

// plannedRoll: the platform stops the machines of the system in turn with SIGTERM and starts them
// again, first those beside the hosts, then those at the edge. Clients keep flows of many requests.
func plannedRoll(l *lab) ([]string, error) {
	l.requestType = "safe"
	d, err := l.deploy(3, 8, 30*time.Millisecond, 0)
	if err != nil {
		return nil, err
	}
	var (
		running sync.WaitGroup
		mutex   sync.Mutex
		resets  []resetFlow
	)
	rollStart := time.Now().Add(rollWarmTime)
	end := rollStart.Add(rollTime)
	for number := range rollClients {
		running.Go(func() {
			for attempt := 0; time.Now().Before(end); attempt++ {
				f, err := d.client.connect(d.route)
				if err != nil {
					f.forget()
					time.Sleep(time.Duration(300+rand.IntN(700)) * time.Millisecond)
					continue
				}
				err = f.keepAsking(fmt.Sprintf("q-%d-%d", number, attempt), end)
				if err == errReset {
					reset := resetFlow{flow: f, at: time.Now(), resting: time.Since(f.lastActive)}
					for _, h := range d.hosts {
						if h.holds(f.key) {
							reset.heldBy = h
						}
					}
					mutex.Lock()
					resets = append(resets, reset)
					mutex.Unlock()
				}
				f.closeFlow()
			}
		})
	}
	time.Sleep(time.Until(rollStart))
	if l.trouble {
		order := append(append([]*machine{}, d.agents...), d.balancers...)
		for len(order) > 0 {
			step := order[:min(rollAtATime, len(order))]
			order = order[len(step):]
			for _, m := range step {
				running.Go(m.stopAndRestart)
			}
			time.Sleep(rollGap)
		}
	}
	running.Wait()
	return judgeResets(l, resets), nil
}

// keepAsking sends requests on the flow, with rests between them, until the end.
func (f *clientFlow) keepAsking(name string, end time.Time) error {
	for request := 0; time.Now().Before(end); request++ {
		if _, err := f.request(fmt.Sprintf("%s-%d", name, request), rollPatience); err != nil {
			f.client.lab.record.add("client: %s-%d on %s: %v", name, request, f.key.client, err)
			return err
		}
		if err := f.rest(rollMinRest + time.Duration(rand.Int64N(int64(rollMaxRest-rollMinRest)))); err != nil {
			f.client.lab.record.add("client: flow %s is reset while it rests", f.key.client)
			return err
		}
	}
	return nil
}

// stopAndRestart stops the process as the platform does: SIGTERM, and SIGKILL after graceS. It
// starts it again after the platform's delay.
func (m *machine) stopAndRestart() {
	m.signal(syscall.SIGTERM)
	select {
	case <-m.ended:
	case <-time.After(graceTime):
		m.signal(syscall.SIGKILL)
		<-m.ended
	}
	time.Sleep(restartDelay)
	if err := m.start(); err != nil {
		m.lab.record.add("%s: %v", m.name, err)
	}
}
