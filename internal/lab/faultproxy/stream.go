package faultproxy

import (
	"net"
	"sync"
)

// stream is one TCP connection through the proxy.
type stream struct {
	client net.Conn
	server net.Conn
	lines  [directionCount]*line

	mutex    sync.Mutex
	ended    bool
	finished int // directions that have reached their end
}

func newStream(controls *controls, client, server net.Conn) *stream {
	created := &stream{client: client, server: server}
	for direction := range directionCount {
		created.lines[direction] = newLine(controls, direction)
	}
	return created
}

// finish passes the end of one direction on. After the second one the stream is over.
func (s *stream) finish(sink net.Conn) {
	_ = sink.(*net.TCPConn).CloseWrite()
	s.mutex.Lock()
	s.finished++
	over := s.finished == int(directionCount)
	s.mutex.Unlock()
	if over {
		s.end(func(connection net.Conn) { _ = connection.Close() })
	}
}

// reset ends the stream at once with a TCP reset on both sides.
func (s *stream) reset() { s.end(resetConnection) }

func (s *stream) end(closeConnection func(net.Conn)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ended {
		return
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
