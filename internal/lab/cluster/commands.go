// This file starts operator commands and queries of the burlmill binary.

package cluster

import (
	"github.com/burlmill/burlmill/internal/lab/process"
)

// StartCommand starts an operator command of the burlmill binary with the URL of the store, and
// returns without waiting for it.
func (c *Cluster) StartCommand(arguments ...string) (*process.Process, error) {
	return c.startProcess(process.Command{
		Name:      "operator",
		Path:      c.burlmillBinary,
		Arguments: append(arguments, "--platform.url", c.StoreURL),
	})
}

// StartQuery starts the burlmill binary to run a query on a node, and returns without waiting for
// it. The result is in the process's log, in CSV format.
func (c *Cluster) StartQuery(node *Node, query string) (*process.Process, error) {
	return c.startProcess(process.Command{
		Name:      "query",
		Path:      c.burlmillBinary,
		Arguments: []string{"query", query, "--output", "csv", "--node", node.Control().String()},
	})
}
