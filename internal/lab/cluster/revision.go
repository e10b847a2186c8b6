package cluster

import (
	"strconv"
	"strings"

	"github.com/go-logfmt/logfmt"

	"github.com/burlmill/burlmill/catalog"
)

// configurationEvent is the event that a node logs when a configuration comes into force.
const configurationEvent = "configuration"

// Revision returns the revision that the node's present process has last put in
// force, 0 if none.
func (n *Node) Revision() catalog.Revision {
	revisions := n.Revisions()
	if len(revisions) == 0 {
		return 0
	}
	return revisions[len(revisions)-1]
}

// Revisions returns all revisions that the node's present process has put in
// force, in the order of its log.
func (n *Node) Revisions() []catalog.Revision {
	var revisions []catalog.Revision
	for line := range strings.Lines(n.Process.Log()) {
		if revision, found := configurationLine(line); found {
			revisions = append(revisions, revision)
		}
	}
	return revisions
}

// configurationLine reads the revision from a line about configurationEvent.
// Other lines, which may be of any form, are not found.
func configurationLine(line string) (revision catalog.Revision, found bool) {
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
