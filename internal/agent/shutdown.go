// This file implements the agent's shutdown: it announces the shutdown, refuses new flows, streams
// and connections, waits for the open ones, and aborts those that remain at the drain limit. It
// also closes the flows of HTTP/3 servers that have shut down, for whatever reason.

package agent

import (
	"time"

	"github.com/apex/log"
)

// beginShutdown makes the agent refuse new flows, streams and connections, and starts to drain the
// open ones.
func (l *eventLoop) beginShutdown() {
	l.shuttingDown = true
	l.decider.BeginShutdown()
	l.ready.Store(false)
	l.coordination.AnnounceShutdown()
	l.http.drainAll()
	l.tcp.BeginShutdown()
	l.log.WithFields(log.Fields{"flows": l.decider.FlowCount(), "streams": l.tcp.OpenStreams()}).Info("shutting-down")
}

// shutdownComplete reports whether the agent is shutting down and no flows, streams, HTTP/3 servers
// or handed-over requests are left. After the drain limit, flows and streams do not count.
func (l *eventLoop) shutdownComplete() bool {
	if !l.shuttingDown || !l.http.isDrained() {
		return false
	}
	return l.drainLimitReached || l.decider.FlowCount() == 0 && l.tcp.OpenStreams() == 0
}

// abortRemaining aborts the flows, streams and requests that remain at the drain limit.
func (l *eventLoop) abortRemaining() {
	l.drainLimitReached = true
	l.log.WithFields(log.Fields{"flows": l.decider.FlowCount(), "streams": l.tcp.OpenStreams()}).Warn("drain-limit")
	l.closeFlows(l.decider.Expire(endOfTime))
	l.http.cancelRequests()
	l.tcp.ResetAll()
}

// endOfTime is later than any idle timeout.
var endOfTime = time.Unix(1<<40, 0)

// removeServer removes an HTTP/3 server that has shut down and closes its flows.
func (l *eventLoop) removeServer(stopped stoppedServer) {
	if stopped.err != nil {
		l.log.WithField("service", stopped.key.service).WithError(stopped.err).Warn("requests-aborted")
	}
	l.closeFlows(l.http.removeServer(stopped))
}
