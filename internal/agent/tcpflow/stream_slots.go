// This file limits the number of open streams of each back end, and refuses all new streams after
// drain or close.

package tcpflow

import (
	"sync"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/internal/stream"
)

// backendIdentity identifies one incarnation of a back end.
type backendIdentity struct {
	service     catalog.ServiceName
	backend     catalog.BackendID
	incarnation uint64
}

// streamSlots counts the open streams of each back end. One goroutine owns the counts;
// the methods are safe for concurrent use.
type streamSlots struct {
	acquisitions chan slotRequest
	releases     chan backendIdentity
	drains       chan struct{}
	closing      chan struct{}
	closeOnce    sync.Once
	closed       chan struct{}
}

// slotRequest requests a slot for one stream at a back end.
type slotRequest struct {
	backend backendIdentity
	limit   int // maximum number of open streams of the back end
	verdict chan<- stream.Verdict
}

func startStreamSlots() *streamSlots {
	started := &streamSlots{
		acquisitions: make(chan slotRequest),
		releases:     make(chan backendIdentity),
		drains:       make(chan struct{}),
		closing:      make(chan struct{}),
		closed:       make(chan struct{}),
	}
	go started.run()
	return started
}

func (s *streamSlots) run() {
	defer close(s.closed)
	openStreams := map[backendIdentity]int{}
	draining := false
	for {
		select {
		case request := <-s.acquisitions:
			verdict := decide(draining, openStreams[request.backend], request.limit)
			if verdict == stream.VerdictAdmitted {
				openStreams[request.backend]++
			}
			request.verdict <- verdict
		case backend := <-s.releases:
			openStreams[backend]--
			if openStreams[backend] == 0 {
				delete(openStreams, backend)
			}
		case <-s.drains:
			draining = true
		case <-s.closing:
			return
		}
	}
}

func decide(draining bool, openStreams, limit int) stream.Verdict {
	switch {
	case draining:
		return stream.VerdictDraining
	case openStreams >= limit:
		return stream.VerdictFull
	}
	return stream.VerdictAdmitted
}

// acquire reserves a slot for one stream at the back end. It returns
// stream.VerdictFull if the limit of open streams is reached, and
// stream.VerdictDraining after drain or close.
func (s *streamSlots) acquire(backend backendIdentity, limit int) stream.Verdict {
	verdict := make(chan stream.Verdict, 1)
	select {
	case s.acquisitions <- slotRequest{backend, limit, verdict}:
		return <-verdict
	case <-s.closed:
		return stream.VerdictDraining
	}
}

// release frees a slot that acquire reserved.
func (s *streamSlots) release(backend backendIdentity) {
	select {
	case s.releases <- backend:
	case <-s.closed:
	}
}

// drain makes all later calls of acquire return stream.VerdictDraining.
func (s *streamSlots) drain() {
	select {
	case s.drains <- struct{}{}:
	case <-s.closed:
	}
}

func (s *streamSlots) close() {
	s.closeOnce.Do(func() { close(s.closing) })
	<-s.closed
}
