// This file sets the fault switches of the store and saves and restores its state, through the
// store's control API. A failed request is of kind fault.Unavailable.

package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/internal/lab/store"
)

// SetStoreFaults sets all fault switches of the store.
func (c *Cluster) SetStoreFaults(ctx context.Context, faults store.Faults) error {
	return c.postStoreControl(ctx, store.PathFaults, faults, &store.Faults{})
}

// SnapshotStore saves the state of the store and returns the snapshot's number for RestoreStore.
func (c *Cluster) SnapshotStore(ctx context.Context) (int, error) {
	var response store.SnapshotResponse
	err := c.postStoreControl(ctx, store.PathSnapshots, nil, &response)
	return response.Snapshot, err
}

// RestoreStore resets the store to a snapshot.
func (c *Cluster) RestoreStore(ctx context.Context, snapshot int) error {
	return c.postStoreControl(ctx, store.PathRestore+"/"+strconv.Itoa(snapshot), nil, &store.SnapshotResponse{})
}

// postStoreControl posts the body as JSON to the store's control API and decodes the response into
// result.
func (c *Cluster) postStoreControl(ctx context.Context, path string, body, result any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode request to %s", path)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.storeControlURL+path, bytes.NewReader(encoded))
	if err != nil {
		return fault.Wrap(fault.Internal, err, "create request to %s", path)
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "send request to the store's control API")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fault.New(fault.Unavailable, "request to the store's control API: %s: %s", path, response.Status)
	}
	return fault.Wrap(fault.Unavailable, json.NewDecoder(response.Body).Decode(result), "decode response of %s", path)
}
