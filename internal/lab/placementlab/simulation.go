// This file contains the discrete-event simulation of a strategy, and Erlang's B formula.

// Package placementlab simulates the placement of one service's requests on the slots of its hosts.
// A host is a back end with its agent. The package compares the load table of the agents with
// simpler strategies. Arrivals are a Poisson process, run times are exponential, and reports and
// hand-overs arrive after a delay. Refusals are compared with Erlang's B formula, their lower
// bound.
package placementlab

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"strconv"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/placement"
)

// Strategy is a placement strategy.
type Strategy string

// The strategies that are compared.
const (
	OneHashed           Strategy = "one hashed"   // only the host of the caller's connection
	TwoHashed           Strategy = "two hashed"   // also a random second host if the first is full, without delay
	LeastBusy           Strategy = "least busy"   // the least busy of all hosts, known and reached without delay
	LoadTableAllReports Strategy = "whole, board" // placement.LoadTable with a report for each change
	LoadTableFewReports Strategy = "whole, few"   // placement.LoadTable, rate-limited reports, load in hand-over verdicts
)

// Strategies lists the strategies in the order of the table.
var Strategies = []Strategy{OneHashed, TwoHashed, LeastBusy, LoadTableAllReports, LoadTableFewReports}

// Setup configures the simulation of one service. The unit of times is the mean run time of a
// request.
type Setup struct {
	Hosts, Slots      int     // Slots is for each host; TwoHashed needs at least 2 hosts
	Load              float64 // offered load divided by the number of all slots
	MessageDelay      float64 // of a report, a hand-over or its verdict
	MinReportInterval float64 // minimum time between two reports of a host, for LoadTableFewReports
	Arrivals          int     // number of requests
	Seed              uint64
}

// Result contains the measurements of one simulation.
type Result struct {
	Refused             float64 // share of requests refused
	RefusedWithFreeSlot float64 // share of requests refused while some host had a free slot
	Imbalance           float64 // busiest host's load divided by the mean load, averaged over the time with load
	HandOvers           float64 // hand-overs per request
	Reports             float64 // report messages per request, one for each receiver; under every strategy
}

// ErlangB returns the share of requests that a pool of slots refuses if requests are not queued.
// The offered load is in slots, that is the arrival rate times the mean run time.
func ErlangB(slots int, offered float64) float64 {
	blocking := 1.0
	for n := 1; n <= slots; n++ {
		blocking = offered * blocking / (float64(n) + offered*blocking)
	}
	return blocking
}

// event is a function to run at a simulated time.
type event struct {
	at  float64
	run func()
}

// eventQueue is a heap.Interface with the earliest event first.
type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation is the state of one simulation.
type simulation struct {
	setup               Setup
	strategy            Strategy
	random              *rand.Rand
	queue               eventQueue
	now                 float64
	busy                []int    // busy slots of each host
	sequence            []uint64 // of each host's last load report
	loadTables          []*placement.LoadTable
	lastReport          []float64 // time of each host's last report
	reportPending       []bool    // whether a report of the host is scheduled
	loadedTime          float64   // time in which at least one host was busy
	imbalanceIntegral   float64   // time integral of maximum load divided by mean load
	lastImbalanceUpdate float64
	refused             int
	refusedWithFreeSlot int
	handOvers           int
	reports             int
}

// Simulate runs one simulation. The same setup gives the same result.
func Simulate(setup Setup, strategy Strategy) Result {
	s := &simulation{
		setup: setup, strategy: strategy,
		random:        rand.New(rand.NewPCG(setup.Seed, 1)),
		busy:          make([]int, setup.Hosts),
		sequence:      make([]uint64, setup.Hosts),
		lastReport:    make([]float64, setup.Hosts),
		reportPending: make([]bool, setup.Hosts),
	}
	for host := range setup.Hosts {
		s.loadTables = append(s.loadTables, placement.NewLoadTable(backendID(host)))
	}
	for host := range setup.Hosts {
		s.report(host)
	}
	s.scheduleArrival(setup.Arrivals)
	for s.queue.Len() > 0 {
		next := heap.Pop(&s.queue).(event)
		s.addImbalance(next.at)
		s.now = next.at
		next.run()
	}
	requests := float64(setup.Arrivals)
	return Result{
		Refused:             float64(s.refused) / requests,
		RefusedWithFreeSlot: float64(s.refusedWithFreeSlot) / requests,
		Imbalance:           s.imbalanceIntegral / s.loadedTime,
		HandOvers:           float64(s.handOvers) / requests,
		Reports:             float64(s.reports) / requests,
	}
}

func backendID(host int) catalog.BackendID { return catalog.BackendID(strconv.Itoa(host)) }

func (s *simulation) schedule(delay float64, run func()) {
	heap.Push(&s.queue, event{s.now + delay, run})
}

// scheduleArrival schedules the next arrival, which schedules the one after it.
func (s *simulation) scheduleArrival(remaining int) {
	if remaining == 0 {
		return
	}
	rate := s.setup.Load * float64(s.setup.Hosts*s.setup.Slots)
	s.schedule(s.random.ExpFloat64()/rate, func() {
		s.placeRequest(s.random.IntN(s.setup.Hosts))
		s.scheduleArrival(remaining - 1)
	})
}

// placeRequest places a request whose caller is connected to the host home.
func (s *simulation) placeRequest(home int) {
	s.tryCandidates(home, s.candidates(home), home)
}

// candidates returns the hosts to try for a request, in order.
func (s *simulation) candidates(home int) []int {
	switch s.strategy {
	case OneHashed:
		return []int{home}
	case TwoHashed:
		second := (home + 1 + s.random.IntN(s.setup.Hosts-1)) % s.setup.Hosts
		return []int{home, second}
	case LeastBusy:
		least := home
		for host := range s.busy {
			if s.busy[host] < s.busy[least] {
				least = host
			}
		}
		return []int{least}
	}
	var hosts []int
	for _, id := range s.loadTables[home].Order() {
		host, _ := strconv.Atoi(string(id))
		hosts = append(hosts, host)
	}
	return hosts
}

// tryCandidates runs the request on the first candidate that has a free slot when the request
// arrives there, and refuses it if none has. The request is at the host current; only strategies
// with load tables delay and count its hand-overs.
func (s *simulation) tryCandidates(home int, candidates []int, current int) {
	if len(candidates) == 0 {
		s.refuse()
		return
	}
	host := candidates[0]
	if host != current && s.usesLoadTables() {
		s.handOvers++
		s.schedule(s.setup.MessageDelay, func() { s.runOrHandOver(home, candidates, host) })
		return
	}
	s.runOrHandOver(home, candidates, host)
}

func (s *simulation) usesLoadTables() bool {
	return s.strategy == LoadTableAllReports || s.strategy == LoadTableFewReports
}

// runOrHandOver runs the request on the host, or tries the next candidate if the host has no free
// slot.
func (s *simulation) runOrHandOver(home int, candidates []int, host int) {
	defer s.applyVerdict(home, host)
	if s.busy[host] >= s.setup.Slots {
		s.tryCandidates(home, candidates[1:], host)
		return
	}
	s.addImbalance(s.now)
	s.busy[host]++
	s.report(host)
	s.schedule(s.random.ExpFloat64(), func() {
		s.busy[host]--
		s.report(host)
	})
}

// refuse counts a refused request, and whether some host had a free slot.
func (s *simulation) refuse() {
	s.refused++
	for _, busy := range s.busy {
		if busy < s.setup.Slots {
			s.refusedWithFreeSlot++
			return
		}
	}
}

// report updates the load table of the host at once and sends the load to all hosts, rate-limited
// under LoadTableFewReports.
func (s *simulation) report(host int) {
	s.sequence[host]++
	s.loadTables[host].Update(s.currentReport(host))
	if s.strategy != LoadTableFewReports {
		s.sendReport(host)
		return
	}
	if !s.reportPending[host] {
		s.reportPending[host] = true
		s.schedule(max(0, s.lastReport[host]+s.setup.MinReportInterval-s.now), func() { s.sendReport(host) })
	}
}

// currentReport returns a report of the host's current load.
func (s *simulation) currentReport(host int) placement.LoadReport {
	return placement.LoadReport{
		Backend: backendID(host), Sequence: s.sequence[host],
		Busy: uint32(s.busy[host]), Slots: uint32(s.setup.Slots),
	}
}

// applyVerdict updates the load table of home, after the message delay, with the load that host
// sends with its verdict on a hand-over. Only LoadTableFewReports uses it.
func (s *simulation) applyVerdict(home, host int) {
	if s.strategy == LoadTableFewReports && home != host {
		report := s.currentReport(host)
		s.schedule(s.setup.MessageDelay, func() { s.loadTables[home].Update(report) })
	}
}

// sendReport sends the load of the host to all load tables, where it arrives after the message
// delay.
func (s *simulation) sendReport(host int) {
	s.reportPending[host] = false
	s.lastReport[host] = s.now
	report := s.currentReport(host)
	s.reports += s.setup.Hosts - 1
	s.schedule(s.setup.MessageDelay, func() {
		for _, table := range s.loadTables {
			table.Update(report)
		}
	})
}

// addImbalance adds the interval since the last call, with the current load, to the imbalance
// integral. It must be called before each change of load.
func (s *simulation) addImbalance(until float64) {
	busiest, sum := 0, 0
	for _, busy := range s.busy {
		busiest = max(busiest, busy)
		sum += busy
	}
	elapsed := until - s.lastImbalanceUpdate
	s.lastImbalanceUpdate = until
	if sum == 0 || math.IsNaN(elapsed) {
		return
	}
	s.loadedTime += elapsed
	s.imbalanceIntegral += elapsed * float64(busiest) * float64(len(s.busy)) / float64(sum)
}
