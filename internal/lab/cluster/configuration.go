// This file writes service objects to the store, and waits until nodes have applied a configuration
// revision.

package cluster

import (
	"context"
	"encoding/json"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/internal/objects"
)

// author is the author of the cluster's writes to the store.
const author = "lab"

// CreateService writes a new service object. Errors are those of objects.Client.Put.
func (c *Cluster) CreateService(ctx context.Context, service catalog.Service) error {
	_, err := c.putService(ctx, service, 0)
	return err
}

// UpdateService reads a service object, applies edit, writes the result and returns the new
// revision. The error is of kind fault.Conflict if the object was written in the meantime; other
// errors are those of objects.Client.Get, catalog.ParseService and objects.Client.Put.
func (c *Cluster) UpdateService(ctx context.Context, name catalog.ServiceName, edit func(*catalog.Service)) (catalog.Revision, error) {
	object, err := c.StoreClient.Get(ctx, name)
	if err != nil {
		return 0, err
	}
	service, err := catalog.ParseService(name, object.Body)
	if err != nil {
		return 0, err
	}
	edit(&service)
	return c.putService(ctx, service, object.Version)
}

func (c *Cluster) putService(ctx context.Context, service catalog.Service, expected catalog.Revision) (catalog.Revision, error) {
	body, err := json.Marshal(service)
	if err != nil {
		return 0, fault.Wrap(fault.Internal, err, "encode service %s", service.Name)
	}
	return c.StoreClient.Put(ctx, objects.Write{
		Name: service.Name, Expected: expected, Body: body, Command: objects.NewCommandID(), Author: author,
	})
}

// SetShares replaces the shares of a service's sites. Errors are those of UpdateService.
func (c *Cluster) SetShares(ctx context.Context, name catalog.ServiceName, shares []catalog.SiteShare) (catalog.Revision, error) {
	return c.UpdateService(ctx, name, func(service *catalog.Service) { service.Shares = shares })
}

// revisionPollInterval is the interval at which AwaitRevision reads the nodes' logs.
const revisionPollInterval = 20 * time.Millisecond

// AwaitRevision waits until every node has logged that it applied a configuration of the revision
// or a later one. The timeout applies to all nodes together. The error is of kind fault.Deadline
// and contains the id and the end of the log of the first node that has not.
func AwaitRevision(revision catalog.Revision, timeout time.Duration, nodes ...*Node) error {
	deadline := time.Now().Add(timeout)
	for _, node := range nodes {
		for node.Revision() < revision {
			if time.Now().After(deadline) {
				return fault.New(fault.Deadline, "%s is at revision %d, want at least %d, after %s; log: %s", node.ID, node.Revision(), revision, timeout, node.Process.LogTail())
			}
			time.Sleep(revisionPollInterval)
		}
	}
	return nil
}
