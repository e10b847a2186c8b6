package cluster

import (
	"github.com/burlmill/burlmill/internal/lab/process"
)

// StartCommand starts the burlmill binary with the arguments of an operator's
// command that writes to the store, and returns at once.
func (c *Cluster) StartCommand(arguments ...string) (*process.Process, error) {
	return c.startProcess(process.Command{
		Name:      "operator",
		Path:      c.burlmill,
		Arguments: append(arguments, "--platform.url", c.StoreURL),
	})
}

// StartQuery starts the burlmill binary to ask a node, and returns at once. What
// it prints is in its log.
func (c *Cluster) StartQuery(node *Node, query string) (*process.Process, error) {
	return c.startProcess(process.Command{
		Name:      "query",
		Path:      c.burlmill,
		Arguments: []string{"query", query, "--output", "csv", "--node", node.Control().String()},
	})
}
