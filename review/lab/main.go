package lab

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Exit statuses of a script.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// limit is the longest time that a script takes.
const limit = 110 * time.Second

// Main runs a script: "NAME BINARY RECORD". The disruption is left out if TROUBLE is 0. It returns
// the exit status.
func Main(run func(record *Record, binary string, trouble bool) (broken bool, err error)) int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: NAME BINARY RECORD")
		return statusNotRun
	}
	record, err := NewRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer record.Close()
	time.AfterFunc(limit, func() {
		fmt.Fprintln(os.Stderr, "took too long")
		os.Exit(statusNotRun) // the processes end with this one
	})
	trouble := os.Getenv("TROUBLE") != "0"
	record.Line("with the disruption: %t", trouble)
	broken, err := run(record, os.Args[1], trouble)
	switch {
	case err != nil:
		record.Line("the case could not run: %v", err)
		fmt.Println("not run:", err)
		return statusNotRun
	case broken:
		record.Line("result: the rule was broken")
		fmt.Println("the rule was broken")
		return statusBroken
	default:
		record.Line("result: the rule held")
		fmt.Println("the rule held")
		return statusHeld
	}
}

var requestCount atomic.Int64

// Load makes requests of the route at the rate, each on a flow of its own and once only, until stop
// is closed. It records each outcome.
func Load(record *Record, client *Client, route Route, perSecond int, deadline time.Duration, stop <-chan struct{}) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		running.Go(func() {
			id := fmt.Sprintf("%s-%d", route.Name, requestCount.Add(1))
			started := time.Now()
			answer, flow, err := client.Exchange(route.Address, id, deadline)
			elapsed := time.Since(started).Milliseconds()
			switch {
			case err == nil && answer.Request != id:
				record.Line("request %s: FOREIGN ANSWER, of %s, from %s", id, answer.Request, answer.Host)
			case err == nil:
				record.Line("request %s: answered by %s after %d ms", id, answer.Host, elapsed)
			case errors.Is(err, ErrReset) && !flow.open:
				record.Line("request %s: reset before its flow opened, after %d ms", id, elapsed)
			default:
				record.Line("request %s: %v after %d ms, flow open: %t", id, err, elapsed, flow.open)
			}
		})
	}
}
