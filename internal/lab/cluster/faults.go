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

// SetStoreFaults replaces the store's fault switches.
func (c *Cluster) SetStoreFaults(ctx context.Context, faults store.Faults) error {
	return c.postLab(ctx, store.PathFaults, faults, &store.Faults{})
}

// SnapshotStore keeps the store's state under a number for RestoreStore.
func (c *Cluster) SnapshotStore(ctx context.Context) (int, error) {
	var answer store.SnapshotAnswer
	err := c.postLab(ctx, store.PathSnapshots, nil, &answer)
	return answer.Snapshot, err
}

// RestoreStore sets the store back to a snapshot.
func (c *Cluster) RestoreStore(ctx context.Context, snapshot int) error {
	return c.postLab(ctx, store.PathRestore+"/"+strconv.Itoa(snapshot), nil, &store.SnapshotAnswer{})
}

// postLab sends a request to the store's fault switches.
func (c *Cluster) postLab(ctx context.Context, path string, body, into any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode the request to %s", path)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.labURL+path, bytes.NewReader(encoded))
	if err != nil {
		return fault.Wrap(fault.Internal, err, "request to %s", path)
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "fault switches of the store")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fault.New(fault.Unavailable, "fault switches of the store: %s: %s", path, response.Status)
	}
	return fault.Wrap(fault.Unavailable, json.NewDecoder(response.Body).Decode(into), "answer of %s", path)
}
