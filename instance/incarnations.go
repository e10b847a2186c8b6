// This file orders the incarnations of a back end and records a limited number of past ones, so
// that delayed reports of an earlier incarnation are rejected as stale. It also defines the error
// for stale messages, the causes of a change of incarnation, and the rounding and text of start
// times.

package instance

import (
	"slices"
	"time"

	"github.com/burlmill/burlmill/fault"
)

// maxPastIncarnations is the maximum number of past incarnations that a tracker records. The oldest
// is evicted.
const maxPastIncarnations = 64

// Cause is the reason why an incarnation became the current one.
type Cause string

const (
	CauseID        Cause = "another-id"   // first report, or a report with another id
	CauseStartTime Cause = "later-birth"  // report with a later start time
	CauseCheck     Cause = "health-check" // no incarnation was known, and a health check was answered
	CauseRestored  Cause = "still-there"  // a displaced incarnation answered a health check
	CauseConfirmed Cause = "goes-on"      // an unconfirmed incarnation was confirmed
)

// incarnationOrder is the position of an incarnation relative to the current one.
type incarnationOrder uint8

const (
	orderSame    incarnationOrder = iota // the current one, as far as id and start time show
	orderLater                           // same id and a later start time
	orderOtherID                         // another id, and not a past incarnation
	orderEarlier                         // past, or same id and an earlier start time
)

func (t *Tracker) compare(incarnation Incarnation) incarnationOrder {
	sameID := incarnation.ID == t.latest.ID
	startUnknown := t.latest.StartedAt.IsZero() && !t.reported // known only from a health check
	switch {
	case sameID && (incarnation.StartedAt.IsZero() || startUnknown || incarnation == t.Incarnation()):
		return orderSame
	case t.past.covers(incarnation):
		return orderEarlier
	case sameID && incarnation.StartedAt.After(t.latest.StartedAt): // or the current one has none
		return orderLater
	case sameID:
		return orderEarlier
	default:
		return orderOtherID
	}
}

// mayBeSame reports whether two incarnations with the same id may be the same: their start times
// are equal, or one is unknown.
func mayBeSame(x, y Incarnation) bool {
	return x.StartedAt.IsZero() || y.StartedAt.IsZero() || x.StartedAt.Equal(y.StartedAt)
}

// canonicalTime returns the start time in UTC and whole milliseconds, so that equal times compare
// equal with ==.
func canonicalTime(startedAt time.Time) time.Time {
	if startedAt.IsZero() {
		return time.Time{}
	}
	return time.UnixMilli(startedAt.UnixMilli()).UTC()
}

// startTimeOr returns startedAt, or other if startedAt is zero.
func startTimeOr(startedAt, other time.Time) time.Time {
	if startedAt.IsZero() {
		return other
	}
	return startedAt
}

// StartedAtText returns the start time as text for logs and query results, "untold" if it is
// unknown.
func (i Incarnation) StartedAtText() string {
	if i.StartedAt.IsZero() {
		return "untold"
	}
	return i.StartedAt.UTC().Format("2006-01-02T15:04:05.000Z")
}

// staleError returns the error for a message that does not, or may not, come from the current
// incarnation.
func (t *Tracker) staleError(message string, incarnation Incarnation) error {
	return fault.New(fault.Stale, "%s of back end %s, born %s: not of the present life %s, born %s",
		message, incarnation.ID, incarnation.StartedAtText(), t.latest.ID, t.Incarnation().StartedAtText())
}

// pastIncarnations records incarnations that have ended or were replaced. The zero value is empty.
type pastIncarnations struct {
	entries []pastIncarnation // oldest first, at most maxPastIncarnations
}

type pastIncarnation struct {
	incarnation  Incarnation
	endConfirmed bool // the end is confirmed: it reported draining, or its removal had its start time
	// removalRejected is true after its removal was received while it may have been running.
	removalRejected bool
}

func (p *pastIncarnations) index(incarnation Incarnation) int {
	return slices.IndexFunc(p.entries, func(past pastIncarnation) bool { return past.incarnation == incarnation })
}

// add records the incarnation and evicts the oldest one above the limit.
func (p *pastIncarnations) add(incarnation Incarnation, endConfirmed bool) {
	if i := p.index(incarnation); i >= 0 {
		p.entries[i].endConfirmed = p.entries[i].endConfirmed || endConfirmed
		return
	}
	p.entries = append(p.entries, pastIncarnation{incarnation: incarnation, endConfirmed: endConfirmed})
	if len(p.entries) > maxPastIncarnations {
		p.entries = slices.Delete(p.entries, 0, 1)
	}
}

// remove removes the incarnation, so that its reports are accepted again.
func (p *pastIncarnations) remove(incarnation Incarnation) {
	if i := p.index(incarnation); i >= 0 {
		p.entries = slices.Delete(p.entries, i, i+1)
	}
}

// covers reports whether the incarnation is, or may be, a past one, or started before a past one
// with the same id.
func (p *pastIncarnations) covers(incarnation Incarnation) bool {
	return slices.ContainsFunc(p.entries, func(past pastIncarnation) bool {
		return past.incarnation.ID == incarnation.ID && (mayBeSame(past.incarnation, incarnation) || incarnation.StartedAt.Before(past.incarnation.StartedAt))
	})
}

// hasConfirmedEnd reports whether the incarnation has certainly ended. Without a start time, the
// result is false, since a later incarnation may have the same id.
func (p *pastIncarnations) hasConfirmedEnd(incarnation Incarnation) bool {
	i := p.index(incarnation)
	return i >= 0 && p.entries[i].endConfirmed && !incarnation.StartedAt.IsZero()
}

// coversEnded reports whether a past incarnation that may be the given one has ended for certain.
func (p *pastIncarnations) coversEnded(incarnation Incarnation) bool {
	return slices.ContainsFunc(p.entries, func(past pastIncarnation) bool {
		return past.incarnation.ID == incarnation.ID && mayBeSame(past.incarnation, incarnation) && past.endConfirmed && !past.removalRejected
	})
}

// rejectRemoval records that the removal of the incarnation was rejected.
func (p *pastIncarnations) rejectRemoval(incarnation Incarnation) {
	if i := p.index(incarnation); i >= 0 {
		p.entries[i].removalRejected = true
	}
}

// confirmEnd confirms the end of the incarnation if it is recorded.
func (p *pastIncarnations) confirmEnd(incarnation Incarnation) {
	if i := p.index(incarnation); i >= 0 {
		p.entries[i].endConfirmed = true
	}
}
