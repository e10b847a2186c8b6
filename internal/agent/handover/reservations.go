// This file implements Reservations, the slots that are reserved for requests of other agents.
// Reservations that are not used within reservationTTL expire.

package handover

import "time"

// reservationTTL is the time after which an unused reservation expires.
const reservationTTL = 2 * time.Second

// Reservations stores the slots that are reserved for requests of other agents. Callers pass the
// current time. It is not safe for concurrent use.
type Reservations[Slot any] struct {
	byToken map[string]reservation[Slot]
}

// reservation is one reserved slot.
type reservation[Slot any] struct {
	slot      Slot
	expiresAt time.Time
}

// NewReservations returns an empty set of reservations.
func NewReservations[Slot any]() *Reservations[Slot] {
	return &Reservations[Slot]{byToken: map[string]reservation[Slot]{}}
}

// Add adds a reservation of the slot. The token must be unique.
func (r *Reservations[Slot]) Add(now time.Time, token string, slot Slot) {
	r.byToken[token] = reservation[Slot]{slot, now.Add(reservationTTL)}
}

// Take removes a reservation and returns its slot, which the caller must free. It returns false if
// the reservation does not exist or has expired.
func (r *Reservations[Slot]) Take(now time.Time, token string) (Slot, bool) {
	found, ok := r.byToken[token]
	if !ok || !now.Before(found.expiresAt) {
		var none Slot
		return none, false
	}
	delete(r.byToken, token)
	return found.slot, true
}

// Expire removes the expired reservations and returns their slots, which the caller must free.
func (r *Reservations[Slot]) Expire(now time.Time) []Slot {
	var slots []Slot
	for token, found := range r.byToken {
		if !now.Before(found.expiresAt) {
			slots = append(slots, found.slot)
			delete(r.byToken, token)
		}
	}
	return slots
}
