// This file adds nodes to the machine list of the store and removes them.

package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/internal/objects"
)

// registerNode adds the node to the machine list of the store, or replaces its entry.
func (c *Cluster) registerNode(ctx context.Context, node *Node) error {
	machine := objects.Machine{
		ID: node.ID, Role: node.Role, Region: region, Zone: node.Zone,
		Control: node.Control(), Data: node.Data(),
	}
	body, err := json.Marshal(machine)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode machine %s", node.ID)
	}
	return c.sendMachineRequest(ctx, http.MethodPut, node, body)
}

// UnregisterNode removes the node from the machine list. The process of the node keeps running. A
// failed request is of kind fault.Unavailable.
func (c *Cluster) UnregisterNode(ctx context.Context, node *Node) error {
	return c.sendMachineRequest(ctx, http.MethodDelete, node, nil)
}

func (c *Cluster) sendMachineRequest(ctx context.Context, method string, node *Node, body []byte) error {
	url := c.StoreURL + objects.PathMachines + "/" + node.ID
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return fault.Wrap(fault.Internal, err, "create machine list request")
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "send machine list request")
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fault.New(fault.Unavailable, "machine list request: %s %s: %s", method, url, response.Status)
	}
	return nil
}
