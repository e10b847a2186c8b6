// This file reads from the log of a node's current process which configuration revisions that
// process has applied.

package cluster

import (
	"strconv"
	"strings"

	"github.com/go-logfmt/logfmt"

	"github.com/burlmill/burlmill/catalog"
)

// configurationEvent is the event that a node logs when a configuration takes effect.
const configurationEvent = "configuration"

// Revision returns the revision that the node's current process applied last, 0 if none.
func (n *Node) Revision() catalog.Revision {
	revisions := n.Revisions()
	if len(revisions) == 0 {
		return 0
	}
	return revisions[len(revisions)-1]
}

// Revisions returns all revisions that the node's current process has applied, in log order.
func (n *Node) Revisions() []catalog.Revision {
	var revisions []catalog.Revision
	for line := range strings.Lines(n.Process.Log()) {
		if revision, found := parseConfigurationLine(line); found {
			revisions = append(revisions, revision)
		}
	}
	return revisions
}

// parseConfigurationLine returns the revision of a log line with configurationEvent, 0 if the line
// has no readable revision. found is false for other lines, which may have any format, and for
// lines that are not valid logfmt.
func parseConfigurationLine(line string) (revision catalog.Revision, found bool) {
	if !strings.Contains(line, configurationEvent) {
		return 0, false
	}
	decoder := logfmt.NewDecoder(strings.NewReader(line))
	decoder.ScanRecord()
	for decoder.ScanKeyval() {
		switch string(decoder.Key()) {
		case "event":
			found = string(decoder.Value()) == configurationEvent
		case "revision":
			number, _ := strconv.ParseUint(string(decoder.Value()), 10, 64)
			revision = catalog.Revision(number)
		}
	}
	return revision, found && decoder.Err() == nil
}
