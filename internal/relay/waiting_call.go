package relay

import (
	"context"
	"time"

	"github.com/burlmill/burlmill/handshake"
)

// waitingCall is a call to the store that may wait for seconds, and can be ended before its time.
type waitingCall struct {
	reading handshake.Reading
	context context.Context
	cancel  context.CancelFunc
}

// beginWait returns a call that is about to begin and notes it at the place given, in place of the one before it.
func (n *node) beginWait(place **waitingCall, reading handshake.Reading) *waitingCall {
	wait := &waitingCall{reading: reading}
	wait.context, wait.cancel = context.WithCancel(n.context)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	(*place).end() // it is over, but its context is not yet released
	*place = wait
	return wait
}

// end ends the call; nil: there is none.
func (w *waitingCall) end() {
	if w != nil {
		w.cancel()
	}
}

// ended says whether the call was ended before its time, or the process stops.
func (w *waitingCall) ended() bool { return w.context.Err() != nil }

// endOutdatedWaits ends calls for what may be old once this process is to ask for the present: others have been
// lost that did. Such a call would go on for up to 5 s, and a change be late by that. The lock is held.
func (n *node) endOutdatedWaits(now time.Time) {
	if n.dutyAt(now).Reading != handshake.ReadsCurrent {
		return
	}
	for _, wait := range []*waitingCall{n.configurationWait, n.evacuationWait} {
		if wait != nil && wait.reading != handshake.ReadsCurrent {
			wait.end()
		}
	}
}
