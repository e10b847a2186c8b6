package cluster

import (
	"context"
	"encoding/json"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/internal/objects"
)

// author is the author of the cluster's own writes to the store.
const author = "lab"

// Create writes a new service object.
func (c *Cluster) Create(ctx context.Context, service catalog.Service) error {
	_, err := c.put(ctx, service, 0)
	return err
}

// Change reads a service object, lets edit change it and writes it back.
func (c *Cluster) Change(ctx context.Context, name catalog.ServiceName, edit func(*catalog.Service)) (catalog.Revision, error) {
	object, err := c.Platform.Get(ctx, name)
	if err != nil {
		return 0, err
	}
	service, err := catalog.ParseService(name, object.Body)
	if err != nil {
		return 0, err
	}
	edit(&service)
	return c.put(ctx, service, object.Version)
}

func (c *Cluster) put(ctx context.Context, service catalog.Service, expected catalog.Revision) (catalog.Revision, error) {
	body, err := json.Marshal(service)
	if err != nil {
		return 0, fault.Wrap(fault.Internal, err, "encode service %s", service.Name)
	}
	return c.Platform.Put(ctx, objects.Write{
		Name: service.Name, Expected: expected, Body: body, Command: objects.NewCommandID(), Author: author,
	})
}

// SetShares moves the split between the two sites of a service.
func (c *Cluster) SetShares(ctx context.Context, name catalog.ServiceName, shares []catalog.SiteShare) (catalog.Revision, error) {
	return c.Change(ctx, name, func(service *catalog.Service) { service.Shares = shares })
}

// revisionPoll is the pause between two looks at the logs.
const revisionPoll = 20 * time.Millisecond

// AwaitRevision waits until the nodes have all logged that a configuration at
// the revision or a later one is in force. The error is of kind fault.Deadline
// and names a node that has not.
func AwaitRevision(revision catalog.Revision, limit time.Duration, nodes ...*Node) error {
	deadline := time.Now().Add(limit)
	for _, node := range nodes {
		for node.Revision() < revision {
			if time.Now().After(deadline) {
				return fault.New(fault.Deadline, "%s is at revision %d, not %d, after %s; log: %s", node.ID, node.Revision(), revision, limit, node.Process.Tail())
			}
			time.Sleep(revisionPoll)
		}
	}
	return nil
}
