package faultproxy

import (
	"net"
	"sync"
)

// stream is a TCP stream through the proxy: the connection of a client, the proxy's connection to
// the target, and a queue for each direction. It ends once both directions have ended, or when it
// is reset or cut; injected resets and cuts are counted. A blackholed stream stays open until one
// side closes its connection, but the proxy discards the data that it reads.
type stream struct {
	controls *controls
	client   net.Conn
	target   net.Conn
	queues   [directionCount]*delayQueue

	mutex              sync.Mutex
	blackholed         bool // data read from either connection is discarded
	ended              bool
	finishedDirections int // directions whose end has been forwarded
}

func newStream(controls *controls, client, target net.Conn) *stream {
	created := &stream{controls: controls, client: client, target: target}
	for direction := range directionCount {
		created.queues[direction] = newDelayQueue(controls, direction)
	}
	return created
}

// blackhole makes the proxy discard all data read after the call and leaves both connections open.
// Queued data is still sent.
func (s *stream) blackhole() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.blackholed = true
}

func (s *stream) isBlackholed() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.blackholed
}

// finishDirection forwards the end of one direction to its sink, and closes the stream once both
// directions have ended.
func (s *stream) finishDirection(sink net.Conn) {
	_ = sink.(*net.TCPConn).CloseWrite()
	s.mutex.Lock()
	s.finishedDirections++
	complete := s.finishedDirections == int(directionCount)
	s.mutex.Unlock()
	if complete {
		s.end(false, func(connection net.Conn) { _ = connection.Close() })
	}
}

// reset ends the stream with a TCP reset on both sides and does not count it as disrupted.
func (s *stream) reset() { s.end(false, resetConnection) }

// resetInjected resets the stream as an injected fault and counts it, unless it has ended already.
func (s *stream) resetInjected() { s.end(true, resetConnection) }

// truncate ends the stream early as an injected fault. A clean cut resets only the source's side;
// the sink's side sees a regular end.
func (s *stream) truncate(sink net.Conn, clean bool) {
	s.end(true, func(connection net.Conn) {
		if clean && connection == sink {
			_ = connection.Close()
			return
		}
		resetConnection(connection)
	})
}

// end closes both connections and both queues; calls after the first do nothing. If injected is
// set, the stream is counted as disrupted.
func (s *stream) end(injected bool, closeConnection func(net.Conn)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ended {
		return
	}
	if injected {
		s.controls.countDisrupted()
	}
	s.ended = true
	closeConnection(s.client)
	closeConnection(s.target)
	for _, queue := range s.queues {
		close(queue.closed)
	}
}

// resetConnection closes a TCP connection with a reset, so that its peer sees an error instead of
// a regular end.
func resetConnection(connection net.Conn) {
	_ = connection.(*net.TCPConn).SetLinger(0)
	_ = connection.Close()
}
