package faultproxy

import (
	"net"
	"sync"
)

// stream is one TCP connection through the proxy.
type stream struct {
	controls *controls
	client   net.Conn
	server   net.Conn
	lines    [directionCount]*line

	mutex    sync.Mutex
	silent   bool // nothing passes any more, and neither side is told
	ended    bool
	finished int // directions that have reached their end
}

func newStream(controls *controls, client, server net.Conn) *stream {
	created := &stream{controls: controls, client: client, server: server}
	for direction := range directionCount {
		created.lines[direction] = newLine(controls, direction)
	}
	return created
}

// silence lets nothing pass any more, without a reset.
func (s *stream) silence() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silent = true
}

func (s *stream) isSilent() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.silent
}

// finish passes the end of one direction on. After the second one the stream is over.
func (s *stream) finish(sink net.Conn) {
	_ = sink.(*net.TCPConn).CloseWrite()
	s.mutex.Lock()
	s.finished++
	over := s.finished == int(directionCount)
	s.mutex.Unlock()
	if over {
		s.end(false, func(connection net.Conn) { _ = connection.Close() })
	}
}

// reset ends the stream at once with a TCP reset on both sides.
func (s *stream) reset() { s.end(false, resetConnection) }

// spoil resets a stream on purpose, unless it is over.
func (s *stream) spoil() { s.end(true, resetConnection) }

// cut ends a stream on purpose before its end. A clean cut resets only the side
// that was read from; the sink's side sees a regular end.
func (s *stream) cut(sink net.Conn, clean bool) {
	s.end(true, func(connection net.Conn) {
		if clean && connection == sink {
			_ = connection.Close()
			return
		}
		resetConnection(connection)
	})
}

// end ends the stream once. spoiled says whether the proxy does so on purpose.
func (s *stream) end(spoiled bool, closeConnection func(net.Conn)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ended {
		return
	}
	if spoiled {
		s.controls.spoil()
	}
	s.ended = true
	closeConnection(s.client)
	closeConnection(s.server)
	for _, line := range s.lines {
		close(line.closed)
	}
}

// resetConnection closes with a reset, so that the peer sees an error and not an end.
func resetConnection(connection net.Conn) {
	_ = connection.(*net.TCPConn).SetLinger(0)
	_ = connection.Close()
}
