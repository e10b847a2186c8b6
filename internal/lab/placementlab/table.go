// This file runs the simulation for several sizes, loads and all strategies, and prints the results
// as a table.

package placementlab

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// serviceSize is the number of hosts of a service and of slots on each.
type serviceSize struct{ hosts, slots int }

var serviceSizes = []serviceSize{{7, 7}, {3, 7}, {7, 3}, {4, 3}}

// offeredLoads are the simulated loads, as shares of all slots.
var offeredLoads = []float64{0.5, 0.8, 0.9, 1.2}

// messageDelay is the delay of a report, a hand-over or its verdict in mean run times: 1.5 ms for
// requests of 100 ms.
const messageDelay = 0.015

// minReportInterval is the minimum time between two reports of a host in mean run times: 1 s for
// requests of 100 ms.
const minReportInterval = 10

// WriteTable simulates every combination of size, load and strategy and writes a table to output.
// The same arguments give the same table; write errors are ignored.
func WriteTable(output io.Writer, arrivals int, seed uint64) {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "hosts x slots\tload\tway\trefused %\tErlang B %\trefused with a free slot %\timbalance\thand-overs a request\treports a request")
	for _, size := range serviceSizes {
		for _, load := range offeredLoads {
			writeRows(table, Setup{
				Hosts: size.hosts, Slots: size.slots, Load: load,
				MessageDelay: messageDelay, MinReportInterval: minReportInterval, Arrivals: arrivals, Seed: seed,
			})
		}
	}
	_ = table.Flush()
}

// writeRows simulates each strategy and writes one row for each.
func writeRows(table io.Writer, setup Setup) {
	slots := setup.Hosts * setup.Slots
	minRefused := ErlangB(slots, setup.Load*float64(slots))
	for _, strategy := range Strategies {
		result := Simulate(setup, strategy)
		fmt.Fprintf(table, "%dx%d\t%.0f%%\t%s\t%.2f\t%.2f\t%.2f\t%.3f\t%.2f\t%.1f\n",
			setup.Hosts, setup.Slots, 100*setup.Load, strategy,
			100*result.Refused, 100*minRefused, 100*result.RefusedWithFreeSlot, result.Imbalance, result.HandOvers, result.Reports)
	}
}
