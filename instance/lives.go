package instance

import (
	"slices"
	"time"

	"github.com/burlmill/burlmill/fault"
)

// rememberLimit is how many lives that are gone are remembered. (A guess: a back end whose lives last seconds is
// remembered for minutes, longer than reports are held up.)
const rememberLimit = 64

// Cause says why a life is taken for the present one.
type Cause string

// The causes.
const (
	CauseID     Cause = "another-id"   // a report of another id came, or the first one
	CauseBirth  Cause = "later-birth"  // a report of a later birth came
	CauseCheck  Cause = "health-check" // none was known, and a health check named it
	CauseRecall Cause = "still-there"  // it was displaced by a report, and then answered a health check
	CauseClaim  Cause = "goes-on"      // it was not believed to be there, but goes on reporting and has answered a health check
)

// lifeOrder says where a life stands to the present one.
type lifeOrder uint8

const (
	lifeSame    lifeOrder = iota // as far as can be told
	lifeLater                    // of the same id
	lifeOther                    // of another id, not known to be gone
	lifeEarlier                  // gone, or of the same id and born earlier
)

func (t *Tracker) order(life Life) lifeOrder {
	ofID := life.ID == t.latest.ID
	silent := t.latest.Born.IsZero() && !t.reported // whether it tells its birth is not known
	switch {
	case ofID && (life.Born.IsZero() || silent || life == t.Life()):
		return lifeSame
	case t.past.covers(life):
		return lifeEarlier
	case ofID && life.Born.After(t.latest.Born): // or the present one does not tell its own
		return lifeLater
	case ofID:
		return lifeEarlier
	default:
		return lifeOther
	}
}

// mayBeSame says whether two lives of one id are the same for all that is told.
func mayBeSame(x, y Life) bool {
	return x.Born.IsZero() || y.Born.IsZero() || x.Born.Equal(y.Born)
}

// canonical returns the birth in the one form in which births are kept, so that equal ones are the same value.
func canonical(born time.Time) time.Time {
	if born.IsZero() {
		return time.Time{}
	}
	return time.UnixMilli(born.UnixMilli()).UTC()
}

// bornOr returns the birth, or the other one if it is not told.
func bornOr(born, other time.Time) time.Time {
	if born.IsZero() {
		return other
	}
	return born
}

// BornText returns the birth for people.
func (l Life) BornText() string {
	if l.Born.IsZero() {
		return "untold"
	}
	return l.Born.UTC().Format("2006-01-02T15:04:05.000Z")
}

// stale returns the error for what an earlier life than the present one has said.
func (t *Tracker) stale(what string, life Life) error {
	return fault.New(fault.Stale, "%s of back end %s, born %s: not of the present life %s, born %s",
		what, life.ID, life.BornText(), t.latest.ID, t.Life().BornText())
}

// pastLives remembers lives that have left or were replaced. The zero value remembers none.
type pastLives struct {
	lives []pastLife // the oldest first, at most rememberLimit
}

// pastLife is a life that is gone for all that is known.
type pastLife struct {
	life Life
	left bool // it has said so itself, or its removal named its birth
}

func (p *pastLives) index(life Life) int {
	return slices.IndexFunc(p.lives, func(past pastLife) bool { return past.life == life })
}

// add remembers the life.
func (p *pastLives) add(life Life, left bool) {
	if i := p.index(life); i >= 0 {
		p.lives[i].left = p.lives[i].left || left
		return
	}
	p.lives = append(p.lives, pastLife{life, left})
	if len(p.lives) > rememberLimit {
		p.lives = slices.Delete(p.lives, 0, 1)
	}
}

// forget lets the life count again.
func (p *pastLives) forget(life Life) {
	if i := p.index(life); i >= 0 {
		p.lives = slices.Delete(p.lives, i, i+1)
	}
}

// covers says whether the life is one of those that are gone, or earlier than one of them, for all that is told.
func (p *pastLives) covers(life Life) bool {
	return slices.ContainsFunc(p.lives, func(past pastLife) bool {
		return past.life.ID == life.ID && (mayBeSame(past.life, life) || life.Born.Before(past.life.Born))
	})
}

// leftForGood says whether the life has left for certain. Where no birth is told, a later life may be meant.
func (p *pastLives) leftForGood(life Life) bool {
	i := p.index(life)
	return i >= 0 && p.lives[i].left && !life.Born.IsZero()
}

// markLeft notes that the life, if it is remembered, has said itself that it leaves.
func (p *pastLives) markLeft(life Life) {
	if i := p.index(life); i >= 0 {
		p.lives[i].left = true
	}
}
