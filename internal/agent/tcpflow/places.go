package tcpflow

import (
	"sync"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/internal/stream"
)

// identity names one host for as long as it exists.
type identity struct {
	service     catalog.ServiceName
	backend     catalog.BackendID
	incarnation uint64
}

// places lets one goroutine own the numbers of streams that back ends hold.
type places struct {
	claims   chan claim
	releases chan identity
	leaves   chan struct{}
	stop     chan struct{}
	stopOnce sync.Once
	stopped  chan struct{}
}

// claim asks for a place at a back end that may hold limit streams.
type claim struct {
	holder  identity
	limit   int
	verdict chan<- stream.Verdict
}

func startPlaces() *places {
	started := &places{
		claims:   make(chan claim),
		releases: make(chan identity),
		leaves:   make(chan struct{}),
		stop:     make(chan struct{}),
		stopped:  make(chan struct{}),
	}
	go started.own()
	return started
}

func (p *places) own() {
	defer close(p.stopped)
	held := map[identity]int{}
	leaving := false
	for {
		select {
		case asked := <-p.claims:
			verdict := decide(leaving, held[asked.holder], asked.limit)
			if verdict == stream.VerdictAdmitted {
				held[asked.holder]++
			}
			asked.verdict <- verdict
		case holder := <-p.releases:
			held[holder]--
			if held[holder] == 0 {
				delete(held, holder)
			}
		case <-p.leaves:
			leaving = true
		case <-p.stop:
			return
		}
	}
}

func decide(leaving bool, held, limit int) stream.Verdict {
	switch {
	case leaving:
		return stream.VerdictLeaving
	case held >= limit:
		return stream.VerdictFull
	}
	return stream.VerdictAdmitted
}

// claim takes a place if there is one. After close there is none.
func (p *places) claim(holder identity, limit int) stream.Verdict {
	verdict := make(chan stream.Verdict, 1)
	select {
	case p.claims <- claim{holder, limit, verdict}:
		return <-verdict
	case <-p.stopped:
		return stream.VerdictLeaving
	}
}

// release gives a place back.
func (p *places) release(holder identity) {
	select {
	case p.releases <- holder:
	case <-p.stopped:
	}
}

// leave gives no further place away.
func (p *places) leave() {
	select {
	case p.leaves <- struct{}{}:
	case <-p.stopped:
	}
}

func (p *places) close() {
	p.stopOnce.Do(func() { close(p.stop) })
	<-p.stopped
}
