package faultproxy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLineThatDidNotRunKeepsDueOrder: a line that is scheduled late finds items of which all are due, among them one that
// was held back. It is still sent after those that were not.
func TestLineThatDidNotRunKeepsDueOrder(t *testing.T) {
	is := is.New(t)
	l := newLine(newControls(1), ToTarget)
	sent := make(chan string, 3)
	send := func(payload []byte) { sent <- string(payload) }
	past := time.Now().Add(-time.Second)
	l.offer(item{payload: []byte("held back"), due: past.Add(ReorderDelay), send: send})
	l.offer(item{payload: []byte("first"), due: past, send: send})
	l.offer(item{payload: []byte("second"), due: past, send: send})
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.run()
	}()
	is.Equal(<-sent, "first")
	is.Equal(<-sent, "second")
	is.Equal(<-sent, "held back")
	close(l.closed)
	<-done
}
