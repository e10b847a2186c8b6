// This file tracks connections whose handshake is in progress, and lets a server that shuts down
// complete them: closing the listener would refuse their callers.

package quicserver

import (
	"context"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/burlmill/burlmill/flow"
)

// handshakePollInterval is how often a server that shuts down checks for handshakes in progress.
const handshakePollInterval = 20 * time.Millisecond

// handshakeEndedKey is the key of a connection's context for a function that records the end of the
// handshake.
type handshakeEndedKey struct{}

// withHandshake records the start of a caller's handshake. It ends when the function in the context
// that it returns is called, or when the connection is closed.
func (c *callerPaths) withHandshake(ctx context.Context, started *callerPath) context.Context {
	c.handshakes.Add(1)
	started.handshakes.Add(1)
	ended := sync.OnceFunc(func() {
		started.handshakes.Add(-1)
		c.handshakes.Add(-1)
	})
	context.AfterFunc(ctx, ended)
	return context.WithValue(ctx, handshakeEndedKey{}, ended)
}

// recordHandshakeEnd records the end of the connection's handshake once it is complete. http3.Server
// calls it for each connection that it accepts.
func recordHandshakeEnd(ctx context.Context, connection *quic.Conn) context.Context {
	if ended, ok := connection.Context().Value(handshakeEndedKey{}).(func()); ok {
		go func() {
			select {
			case <-connection.HandshakeComplete():
			case <-connection.Context().Done():
			}
			ended()
		}()
	}
	return ctx
}

// completeHandshakes makes the server ignore datagrams that start a connection, whose callers try
// again elsewhere, and waits until no handshake is in progress or the context ends. It reports
// whether there was one. quic-go bounds the duration of a handshake.
func (s *Server) completeHandshakes(ctx context.Context) (found bool) {
	s.ignoreNewConnections.Store(true)
	ticker := time.NewTicker(handshakePollInterval)
	defer ticker.Stop()
	queueRead := false
	// A datagram that quic-go has read, but not handled yet, is neither queued nor in a handshake:
	// two checks in a row must find none.
	for idleChecks := 0; idleChecks < 2; {
		select {
		case <-ctx.Done():
			return found
		case <-ticker.C:
		}
		queueRead = queueRead || s.packets.queued() == 0
		if s.paths.handshakes.Load() > 0 {
			found = true
			idleChecks = 0
		} else if queueRead {
			idleChecks++
		}
	}
	return found
}

// startsConnection reports whether the datagram starts a connection: its connection ID was not
// issued by a server of this back end, and the caller has no handshake in progress.
func (s *Server) startsConnection(key flow.Key, payload []byte) bool {
	if _, issued := GenerationOf(payload, s.serverID); issued {
		return false
	}
	path := s.paths.get(key.Caller)
	return path == nil || path.handshakes.Load() == 0
}
