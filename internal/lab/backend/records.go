// This file serves the counts, the journal and the drain command of a back end over HTTP, and reads
// the counts and the journal of a back end in another process.

package backend

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/burlmill/burlmill/fault"
)

// PathCounts is the path at which a back end serves its Counts as JSON.
const PathCounts = "/lab/counts"

// Paths at which a back end serves the runs and the flows of its journal as JSON.
const (
	pathRuns  = "/lab/runs"
	pathFlows = "/lab/flows"
)

// fetchTimeout is the timeout of one request to a back end in another process.
const fetchTimeout = 10 * time.Second

func (b *Backend) serveRuns(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, b.journal.Runs())
}

func (b *Backend) serveFlows(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, b.journal.Flows())
}

func (b *Backend) serveCounts(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, b.Counts())
}

func (b *Backend) serveDrain(writer http.ResponseWriter, _ *http.Request) {
	b.Drain()
	writer.WriteHeader(http.StatusNoContent)
}

// FetchRecords appends the runs and flows recorded by a back end in another process to this
// journal. It must be called only once per back end, as runs are not deduplicated, and on a journal
// that no back end of this process writes to. Errors are of kind fault.Unavailable, or
// fault.Internal if the address is invalid.
func (j *Journal) FetchRecords(ctx context.Context, address netip.AddrPort) error {
	var runs []Run
	if err := fetchJSON(ctx, address, pathRuns, &runs); err != nil {
		return err
	}
	var flows []FlowRecord
	if err := fetchJSON(ctx, address, pathFlows, &flows); err != nil {
		return err
	}
	j.mutex.Lock()
	j.runs = append(j.runs, runs...)
	j.mutex.Unlock()
	for _, record := range flows {
		j.recordFlow(record)
	}
	return nil
}

// FetchCounts returns the counts of a back end in another process. Errors are of kind
// fault.Unavailable, or fault.Internal if the address is invalid.
func FetchCounts(ctx context.Context, address netip.AddrPort) (Counts, error) {
	var counts Counts
	err := fetchJSON(ctx, address, PathCounts, &counts)
	return counts, err
}

// fetchJSON sends a GET of the path to the back end and decodes the JSON body of the response into
// result. It does not check the status of the response.
func fetchJSON(ctx context.Context, address netip.AddrPort, path string, result any) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+path, nil)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "read %s of the back end at %s", path, address)
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "read %s of the back end at %s", path, address)
	}
	defer response.Body.Close()
	err = json.NewDecoder(response.Body).Decode(result)
	return fault.Wrap(fault.Unavailable, err, "read %s of the back end at %s", path, address)
}
