// This file reads single objects, and writes or deletes them only if they are still at the expected
// version. Repeating a write that was applied returns the version that it created.

package objects

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
)

// Write is one conditional write of an object.
type Write struct {
	Name catalog.ServiceName

	// Expected is the version that the write replaces; 0 means that the object was
	// never written. For a deleted object it is the version of the deletion, which
	// ConflictError.Current contains.
	Expected catalog.Revision
	Body     json.RawMessage // JSON; empty for a deletion
	Command  CommandID       // from NewCommandID; unchanged if the same write is repeated
	Author   string          // author of the command
}

// Get returns the object with its annotations and history. For a missing object the
// error is of kind fault.NotFound; if it was deleted, the returned Object is its
// deletion, whose version a new write must expect.
func (c *Client) Get(ctx context.Context, name catalog.ServiceName) (Object, error) {
	exchange := exchange{operation: readOperation, method: http.MethodGet, path: objectPath(name), timeout: c.timeout}
	reply, err := c.do(ctx, exchange)
	if err != nil {
		return Object{}, err
	}
	object := Object{Name: name}
	switch reply.status {
	case http.StatusOK:
		if err := decodeObject(reply.body, name, &object); err != nil {
			return Object{}, readOperation.responseError(err, exchange.String())
		}
		return object, nil
	case http.StatusNotFound:
		var deletion Object
		if decodeObject(reply.body, name, &deletion) == nil && deletion.Deleted {
			object = deletion
		}
	}
	return object, readOperation.statusError(reply.status, reply.body, exchange.String())
}

// Put writes the object if it is still at the expected version and returns its
// new version. Repeating an applied write with the same command returns the version
// that it created. Errors: Conflict, as *ConflictError, if the version differs; Unavailable
// or Overloaded if the write was not applied; OutcomeUnknown if it may have been applied or
// may still be applied, see Resolve; Invalid, NotFound or Unauthenticated if it was rejected.
func (c *Client) Put(ctx context.Context, write Write) (catalog.Revision, error) {
	if !json.Valid(write.Body) {
		return 0, fault.InvalidField("body", write.Name, "must be JSON")
	}
	return c.write(ctx, http.MethodPut, write)
}

// Delete deletes the object under the same rules as Put and returns the version of
// the deletion. The write's Body is ignored.
func (c *Client) Delete(ctx context.Context, write Write) (catalog.Revision, error) {
	write.Body = nil
	return c.write(ctx, http.MethodDelete, write)
}

func (c *Client) write(ctx context.Context, method string, write Write) (catalog.Revision, error) {
	annotations := Annotations{CommandID: write.Command, Author: write.Author}
	if err := annotations.Validate(); err != nil {
		return 0, err
	}
	header := http.Header{}
	header.Set(HeaderIfMatch, FormatEntityTag(write.Expected))
	header.Set(HeaderCommandID, string(write.Command))
	header.Set(HeaderAuthor, write.Author)
	header.Set("Content-Type", "application/json")
	exchange := exchange{operation: writeOperation, method: method, path: objectPath(write.Name), header: header, body: write.Body, timeout: c.timeout}
	reply, err := c.do(ctx, exchange)
	if err != nil {
		return 0, err
	}
	switch reply.status {
	case http.StatusOK:
		return decodeWriteResponse(reply.body, write, exchange.String())
	case http.StatusPreconditionFailed:
		return handleConflict(reply.body, write, exchange.String())
	}
	return 0, writeOperation.statusError(reply.status, reply.body, exchange.String())
}

func decodeWriteResponse(body []byte, write Write, request string) (catalog.Revision, error) {
	var written WriteResponse
	if err := json.Unmarshal(body, &written); err != nil {
		return 0, writeOperation.responseError(err, request)
	}
	if written.Name != write.Name || written.Version <= write.Expected {
		return 0, fault.New(fault.OutcomeUnknown, "%s: response has object %q at version %d", request, written.Name, written.Version)
	}
	return written.Version, nil
}

// handleConflict handles a failed version condition. An earlier copy of the same write may
// have changed the version; the write then succeeded.
func handleConflict(body []byte, write Write, request string) (catalog.Revision, error) {
	var current Object
	if err := decodeObject(body, write.Name, &current); err != nil {
		return 0, writeOperation.responseError(err, request)
	}
	if version, applied := current.VersionOf(write.Command); applied {
		return version, nil
	}
	return 0, &ConflictError{Current: current}
}

func objectPath(name catalog.ServiceName) string {
	return PathObjects + "/" + url.PathEscape(string(name))
}
