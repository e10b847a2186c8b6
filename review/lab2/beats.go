package main

import (
	"errors"
	"sync"
	"time"
)

// Times of oldBeatLate.
const (
	oldBeatCut      = 3 * time.Second // from the crash until the late heartbeat arrives
	oldBeatServesOn = 12 * time.Second
)

// oldBeatLate: the heartbeat of a host is held up by a cut. The host crashes and another one starts
// at its address and registers. The late heartbeat arrives; later the second host leaves.
func oldBeatLate(l *lab) ([]string, error) {
	d, err := l.deploy(3, 6, 40*time.Millisecond, 0)
	if err != nil {
		return nil, err
	}
	m, err := l.addMachine("side-7", "agent", serviceName)
	if err != nil {
		return nil, err
	}
	time.Sleep(500 * time.Millisecond)
	arrives := make(chan bool, 1)
	options := hostOptions{id: "i-first", service: serviceName, work: 40 * time.Millisecond, nameless: true}
	options.delayBeat = func(uint64) bool { return <-arrives }
	first, err := l.startHost(m, options)
	if err != nil {
		return nil, err
	}
	time.Sleep(300 * time.Millisecond)
	first.stop() // it crashes
	crashedAt := time.Now()
	time.Sleep(200 * time.Millisecond)
	options.id, options.delayBeat = "i-second", nil
	second, err := l.startHost(m, options)
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() { d.runShortFlows(stop) })
	time.Sleep(time.Until(crashedAt.Add(oldBeatCut)))
	l.record.add("the heartbeat of host i-first arrives: %v", l.trouble)
	arrives <- l.trouble
	time.Sleep(contactTime + time.Second)
	if !second.leave() {
		return nil, errors.New("the DELETE was not acknowledged")
	}
	acknowledgedAt := time.Now()
	time.Sleep(oldBeatServesOn)
	second.stop()
	close(stop)
	load.Wait()
	return judgeDrain(l, second, acknowledgedAt, acknowledgedAt), nil
}
