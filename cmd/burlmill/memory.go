// This file limits the heap growth of a process between garbage collections.

package main

import (
	"os"
	"runtime/debug"
)

// heapGrowthPercent is the heap growth, in percent of the live heap, that triggers a garbage
// collection in processes that call limitHeapGrowth.
const heapGrowthPercent = 30

// gcVariable is the environment variable from which the Go runtime reads this percentage.
const gcVariable = "GOGC"

// limitHeapGrowth reduces peak memory use, at the cost of processor time, by collecting garbage
// earlier than by default. It has no effect if GOGC is set in the environment.
func limitHeapGrowth() {
	if os.Getenv(gcVariable) == "" {
		debug.SetGCPercent(heapGrowthPercent)
	}
}
