// This file keeps the history of the machine list, so that the store can serve an outdated list.

package store

import (
	"maps"
	"slices"
	"time"

	"github.com/burlmill/burlmill/internal/objects"
)

// maxMachineLists is the maximum length of a machineHistory.
const maxMachineLists = 4096

// machineHistory holds the machine list after each change, oldest first.
type machineHistory []machineList

// machineList is the machine list after a change at the time since.
type machineList struct {
	since    time.Time
	machines map[string]objects.Machine // by id
}

// appendChanged appends a copy of the latest list with edit applied, and removes the oldest list if
// there are more than maxMachineLists.
func (h machineHistory) appendChanged(now time.Time, edit func(machines map[string]objects.Machine)) machineHistory {
	machines := map[string]objects.Machine{}
	if len(h) > 0 {
		machines = maps.Clone(h[len(h)-1].machines)
	}
	edit(machines)
	h = append(h, machineList{since: now, machines: machines})
	if len(h) > maxMachineLists {
		h = slices.Clone(h[len(h)-maxMachineLists:])
	}
	return h
}

// at returns the machines listed at the time, in order of id, or nil if that is before the oldest
// list.
func (h machineHistory) at(when time.Time) []objects.Machine {
	for _, list := range slices.Backward(h) {
		if list.since.After(when) {
			continue
		}
		machines := make([]objects.Machine, 0, len(list.machines))
		for _, id := range slices.Sorted(maps.Keys(list.machines)) {
			machines = append(machines, list.machines[id])
		}
		return machines
	}
	return nil
}
