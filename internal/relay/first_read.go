// This file contains the reads of the store without which a process cannot serve: the first
// configuration, and the record of an agent. Further reads start without waiting for unanswered
// ones, until the store answers.

package relay

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/burlmill/burlmill/fault"
)

// firstReadInterval is the mean time between the starts of concurrent reads while no
// configuration is in force. A read that fails within it was answered by the store.
const firstReadInterval = 400 * time.Millisecond

// errPeerAnsweredFirst means that a peer sent the configuration before the store answered. It
// does not indicate that the store failed.
var errPeerAnsweredFirst = fault.New(fault.Unavailable, "configuration received from a peer before the store answered")

// storeAnswer is the outcome of one read of the store.
type storeAnswer struct {
	document Document
	err      error
	took     time.Duration
}

// fromStore reports whether the store answered: the read succeeded, or it failed within
// firstReadInterval.
func (a storeAnswer) fromStore() bool { return a.err == nil || a.took < firstReadInterval }

// firstDocument reads the configuration while none is in force and the process cannot
// serve. A store that recovers does not answer calls made during its outage, so further
// reads start while earlier ones are pending, and the first answer is used. It returns
// errPeerAnsweredFirst if a peer sends the configuration first.
func (n *node) firstDocument(health *storeHealth, allowStale bool) (Document, error) {
	ctx, cancel := context.WithCancel(n.context)
	defer cancel()
	answers := make(chan storeAnswer)
	for !n.hasConfiguration() {
		n.spawn(func() { n.readAndSend(ctx, allowStale, answers) })
		answer, ok := n.awaitAnswer(answers, health)
		if ok {
			return answer.document, answer.err
		}
		if n.context.Err() != nil {
			return Document{}, n.context.Err()
		}
	}
	return Document{}, errPeerAnsweredFirst
}

// readAndSend performs one read and sends its outcome to answers, unless the context ends first.
func (n *node) readAndSend(ctx context.Context, allowStale bool, answers chan<- storeAnswer) {
	startedAt := time.Now()
	document, err := n.read(ctx, allowStale)
	select {
	case answers <- storeAnswer{document, err, time.Since(startedAt)}:
	case <-ctx.Done():
	}
}

// awaitAnswer waits for an answer of the store until the next read is due, and returns false if
// there is none. It passes the errors of reads that the store did not answer to health.
func (n *node) awaitAnswer(answers <-chan storeAnswer, health *storeHealth) (storeAnswer, bool) {
	pause := time.NewTimer(jitter(firstReadInterval))
	defer pause.Stop()
	for {
		select {
		case <-n.context.Done():
			return storeAnswer{}, false
		case <-pause.C:
			return storeAnswer{}, false
		case answer := <-answers:
			if answer.fromStore() {
				return answer, true
			}
			health.recordOutcome(answer.err)
		}
	}
}

// hasConfiguration reports whether a configuration is in force.
func (n *node) hasConfiguration() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.table != nil
}

// readUntilAnswered calls read until it succeeds, and returns its result and true, or false if the
// node stops before. A store that recovers does not answer calls made during its outage, so further
// calls start while earlier ones are pending, after growing pauses, and as soon as a peer has a
// configuration that it may have read from the store just now. Failed calls are logged.
func readUntilAnswered[T any](n *node, read func(context.Context) (T, error)) (result T, answered bool) {
	ctx, cancel := context.WithCancel(n.context)
	defer cancel()
	startedAt := time.Now()
	results, failures := make(chan T), make(chan error)
	pause, failurePause := backoff{previous: firstReadInterval / 2}, backoff{}
	for ctx.Err() == nil {
		callStartedAt := time.Now()
		n.spawn(func() { readOnce(ctx, read, results, failures) })
		for next := time.After(pause.next(maxRecordBackoff)); next != nil; {
			select {
			case <-ctx.Done():
				return result, false
			case result = <-results:
				return result, true
			case err := <-failures:
				n.limitedLog.Log(log.WarnLevel, "record-call-failed", log.Fields{"error": err, "age": time.Since(startedAt)})
				if time.Since(callStartedAt) < firstReadInterval {
					next = time.After(failurePause.next(maxRecordBackoff)) // the store refuses calls at once
				}
			case <-n.versionAnnounced:
				if time.Since(callStartedAt) >= minStoreBackoff {
					next = nil
				}
			case <-next:
				next = nil
			}
		}
	}
	return result, false
}

// readOnce calls read once and sends its result or error, unless the context ends first.
func readOnce[T any](ctx context.Context, read func(context.Context) (T, error), results chan<- T, failures chan<- error) {
	result, err := read(ctx)
	if err != nil {
		select {
		case failures <- err:
		case <-ctx.Done():
		}
		return
	}
	select {
	case results <- result:
	case <-ctx.Done():
	}
}
