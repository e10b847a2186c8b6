package main

import (
	"os"
	"runtime/debug"
)

// heapGrowthPercent is by how much the heap of a process may grow beyond what is in use
// before the collector runs. Go's own 100 % suits large heaps: these processes hold a few
// megabytes, on machines whose memory is dearer than the processor time saved.
const heapGrowthPercent = 30

// collectorVariable is the variable by which Go's runtime is told the same from outside.
const collectorVariable = "GOGC"

// limitHeapGrowth keeps the peak of memory low, unless whoever starts the process has
// said otherwise.
func limitHeapGrowth() {
	if os.Getenv(collectorVariable) == "" {
		debug.SetGCPercent(heapGrowthPercent)
	}
}
