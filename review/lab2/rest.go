package main

import (
	"fmt"
	"sync"
	"time"
)

// Parameters of restingFlows.
const (
	restIdleTimeout = 30 * time.Second // idleTimeoutMs of the configuration
	restFlows       = 60
	restGap         = 1300 * time.Millisecond // between two machines of the roll
	restSettle      = 8 * time.Second         // from the last stop of the roll until clients send again
	restPatience    = 12 * time.Second        // deadline of a request
	flowSpan        = 2 * time.Second         // flowMs
	strayPackets    = 3                       // of one flow at other hosts, that break the rule
)

// arrival is the arrival of a flow's packet at a host.
type arrival struct {
	at   time.Time
	host *host
}

// restingFlows: the platform stops the machines in turn, one at a time, first those at the edge, then
// those beside the hosts, while clients keep flows that rest for less than idleTimeoutMs.
func restingFlows(l *lab) ([]string, error) {
	l.idleTimeout = restIdleTimeout
	d, err := l.deploy(3, 8, 30*time.Millisecond, restIdleTimeout)
	if err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	order := append(append([]*machine{}, d.balancers...), d.agents...)
	resume := time.Now().Add(time.Duration(len(order))*restGap + restSettle)
	var (
		running sync.WaitGroup
		mutex   sync.Mutex
		flows   []*clientFlow
	)
	for number := range restFlows {
		running.Go(func() {
			f, err := d.client.connect(d.route)
			if err != nil {
				l.record.add("client: flow %s did not open: %v", f.key.client, err)
				return
			}
			if _, err := f.request(fmt.Sprintf("q-%d-0", number), time.Second); err != nil {
				l.record.add("client: flow %s: %v", f.key.client, err)
				return
			}
			mutex.Lock()
			flows = append(flows, f)
			mutex.Unlock()
			if err := f.rest(time.Until(resume)); err != nil {
				l.record.add("client: flow %s is reset while it rests", f.key.client)
				return
			}
			rested := time.Since(f.lastActive)
			body, err := f.request(fmt.Sprintf("q-%d-1", number), restPatience)
			l.record.add("client: flow %s rested for %.1f s, then its request got %q, %v", f.key.client, rested.Seconds(), body, err)
		})
	}
	time.Sleep(time.Second)
	if l.trouble {
		for _, m := range order {
			running.Go(m.stopAndRestart)
			time.Sleep(restGap)
		}
	}
	running.Wait()
	return judgeStrays(l, d.hosts, flows), nil
}

// judgeStrays returns the flows of which strayPackets or more arrived at other hosts over flowSpan
// or more, with none at their own in between, while their own held them.
func judgeStrays(l *lab, hosts []*host, flows []*clientFlow) []string {
	owners := map[flowKey]*host{}
	for _, h := range hosts {
		h.mutex.Lock()
		for key := range h.opened {
			owners[key] = h
		}
		h.mutex.Unlock()
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	broken, longest, example := 0, 0, ""
	for _, f := range flows {
		own, strays, since := owners[f.key], 0, time.Time{}
		for _, a := range l.arrivals[f.key] {
			if a.host == own {
				strays = 0
				continue
			}
			if strays == 0 {
				since = a.at
			}
			strays++
			l.record.add("flow %s of host %s: a packet arrived at host %s at %.3f", f.key.client, own.id, a.host.id, l.record.at(a.at))
			if strays >= strayPackets && a.at.Sub(since) >= flowSpan && strays > longest {
				longest = strays
				example = fmt.Sprintf("%d packets of the flow of %s, which %s holds, in %.1f s", strays, f.key.client, own.id, a.at.Sub(since).Seconds())
			}
			if strays == strayPackets && a.at.Sub(since) >= flowSpan {
				broken++
			}
		}
	}
	l.record.add("flows with %d or more packets at other hosts over %v and none at their own: %d of %d", strayPackets, flowSpan, broken, len(flows))
	if broken == 0 {
		return nil
	}
	return []string{fmt.Sprintf("FLOW: packets of %d open flows went to other hosts only; for example %s", broken, example)}
}

// noteArrival records the arrival of a packet of an open flow at a host.
func (l *lab) noteArrival(h *host, key flowKey) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.arrivals[key] = append(l.arrivals[key], arrival{time.Now(), h})
}
