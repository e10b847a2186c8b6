package handover

import "time"

// reservationTime is how long a slot is held for a request that does not come.
const reservationTime = 2 * time.Second

// Reservations holds slots for requests that are on their way. It is pure: the
// clock is an argument. It is not safe for concurrent use.
type Reservations[Slot any] struct {
	held map[string]reservation[Slot]
}

// reservation is one slot that is held.
type reservation[Slot any] struct {
	slot    Slot
	expires time.Time
}

// NewReservations returns an empty list.
func NewReservations[Slot any]() *Reservations[Slot] {
	return &Reservations[Slot]{held: map[string]reservation[Slot]{}}
}

// Hold notes a slot under a token that no other reservation has.
func (r *Reservations[Slot]) Hold(now time.Time, token string, slot Slot) {
	r.held[token] = reservation[Slot]{slot, now.Add(reservationTime)}
}

// Take ends a reservation and returns its slot, which then belongs to the
// caller. It reports false if there is no such reservation or it has expired.
func (r *Reservations[Slot]) Take(now time.Time, token string) (Slot, bool) {
	found, ok := r.held[token]
	if !ok || !now.Before(found.expires) {
		var none Slot
		return none, false
	}
	delete(r.held, token)
	return found.slot, true
}

// Expire ends the reservations whose time is over and returns their slots.
func (r *Reservations[Slot]) Expire(now time.Time) []Slot {
	var slots []Slot
	for token, found := range r.held {
		if !now.Before(found.expires) {
			slots = append(slots, found.slot)
			delete(r.held, token)
		}
	}
	return slots
}
