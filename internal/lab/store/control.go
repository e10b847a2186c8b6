// This file serves the control API of the store: the fault switches, snapshots, their restore, and
// counters. It also writes the JSON responses of both APIs.

package store

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/internal/objects"
)

// Paths of the control API under ControlURL.
const (
	PathFaults    = "/lab/faults"    // GET and POST Faults; POST replaces all switches
	PathSnapshots = "/lab/snapshots" // POST saves the state and returns SnapshotResponse
	PathRestore   = "/lab/restore"   // POST to /{number} below it restores that snapshot
	PathCounters  = "/lab/counters"  // GET Counters
)

// SnapshotResponse is the response body of POST to PathSnapshots and below PathRestore.
type SnapshotResponse struct {
	Snapshot int `json:"snapshot"` // number in the path of a restore
}

// controlHandler serves the control API, which is not subject to the fault switches.
func (s *Store) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathFaults, func(response http.ResponseWriter, _ *http.Request) {
		respondJSON(response, http.StatusOK, s.Faults())
	})
	mux.HandleFunc("POST "+PathFaults, s.postFaults)
	mux.HandleFunc("POST "+PathSnapshots, func(response http.ResponseWriter, _ *http.Request) {
		respondJSON(response, http.StatusOK, SnapshotResponse{Snapshot: s.Snapshot()})
	})
	mux.HandleFunc("POST "+PathRestore+"/{snapshot}", s.postRestore)
	mux.HandleFunc("GET "+PathCounters, func(response http.ResponseWriter, _ *http.Request) {
		respondJSON(response, http.StatusOK, s.Counters())
	})
	return mux
}

func (s *Store) postFaults(response http.ResponseWriter, request *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		respondProblem(response, fault.Wrap(fault.Invalid, err, "faults"))
		return
	}
	if err := s.SetFaults(faults); err != nil {
		respondProblem(response, err)
		return
	}
	respondJSON(response, http.StatusOK, faults)
}

func (s *Store) postRestore(response http.ResponseWriter, request *http.Request) {
	snapshot, err := strconv.Atoi(request.PathValue("snapshot"))
	if err != nil {
		respondProblem(response, fault.Wrap(fault.Invalid, err, "snapshot"))
		return
	}
	if err := s.Restore(snapshot); err != nil {
		respondProblem(response, err)
		return
	}
	respondJSON(response, http.StatusOK, SnapshotResponse{Snapshot: snapshot})
}

// respondJSON responds with the status and value as JSON, or with status 500 and {} if value cannot
// be encoded.
func respondJSON(response http.ResponseWriter, status int, value any) {
	encoded, err := encodeJSON(value)
	if err != nil {
		status = http.StatusInternalServerError
		encoded = []byte(`{}`)
	}
	response.Header().Set("Content-Type", "application/json")
	response.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	response.WriteHeader(status)
	_, _ = response.Write(encoded) // fails only if the client has disconnected
}

// encodeJSON returns the value as JSON. It copies the bodies of objects, as json.Marshal fails if one
// is nested so deeply that it is valid only by itself.
func encodeJSON(value any) ([]byte, error) {
	switch value := value.(type) {
	case objects.Object:
		return encodeObject(value)
	case objects.ChangeList:
		encoded := fmt.Appendf(nil, `{"version":%d,"objects":[`, value.Version)
		for i, object := range value.Objects {
			item, err := encodeObject(object)
			if err != nil {
				return nil, err
			}
			if i > 0 {
				encoded = append(encoded, ',')
			}
			encoded = append(encoded, item...)
		}
		return append(encoded, "]}"...), nil
	default:
		return json.Marshal(value)
	}
}

func encodeObject(object objects.Object) ([]byte, error) {
	body := object.Body
	object.Body = nil
	encoded, err := json.Marshal(object)
	if err != nil || len(body) == 0 {
		return encoded, err
	}
	encoded = append(encoded[:len(encoded)-1], `,"body":`...)
	return append(append(encoded, body...), '}'), nil
}

// respondObject responds with the object and its version as entity tag.
func respondObject(response http.ResponseWriter, status int, object objects.Object) {
	response.Header().Set(objects.HeaderETag, objects.FormatEntityTag(object.Version))
	respondJSON(response, status, object)
}

// respondProblem responds with the error, the HTTP status of its kind, and the statement that the
// request had no effect.
func respondProblem(response http.ResponseWriter, err error) {
	applied := false
	respondJSON(response, fault.KindOf(err).Codes().HTTPStatus, objects.Problem{Error: err.Error(), Applied: &applied})
}
