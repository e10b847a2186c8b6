// This file defines the paths, headers and JSON bodies of the API, creates command ids, finds the
// version that a command wrote in an object's history, converts versions to and from entity tags,
// and validates the annotations of writes.

// Package objects is the client of the platform's object API: JSON over HTTP
// with object versions, conditional writes and long-poll watches, and a machine
// list that may be out of date. The error kind of a failure, from package fault,
// states what the caller can assume, in particular whether a write without a
// response may have been applied.
package objects

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
)

// Paths, headers and query parameters of the API.
const (
	PathObjects  = "/v1/objects"
	PathWatch    = "/v1/watch"
	PathMachines = "/v1/machines"

	HeaderCommandID = "Burlmill-Command-Id" // on writes: CommandID
	HeaderAuthor    = "Burlmill-Author"     // on writes: the author of the command
	HeaderIfMatch   = "If-Match"            // on writes: EntityTag of the version to replace
	HeaderETag      = "ETag"                // on responses: EntityTag of the object

	QueryAfter = "after" // a catalog.Revision
	QueryWait  = "wait"  // a Go duration, e.g. 30s
)

// InternalPrefix is the name prefix of burlmill's internal objects, such as leases.
// They are read by name; Changes and Watch return only configuration objects.
const InternalPrefix = "burlmill-"

// HistoryLimit is the number of latest writes of an object whose annotations the
// platform retains.
const HistoryLimit = 16

// MaxAnnotationBytes is the maximum length of a command id or an author, in bytes.
const MaxAnnotationBytes = 64

// CommandID identifies one command of one writer. It is stored with the written
// object, so that a writer can distinguish its own write from another's.
type CommandID string

// NewCommandID returns a unique random id.
func NewCommandID() CommandID { return CommandID(rand.Text()) }

// Annotations identify the command that wrote a version of an object, and its author.
type Annotations struct {
	CommandID CommandID `json:"command_id"`
	Author    string    `json:"author"`
}

// HistoryEntry is one earlier write of an object.
type HistoryEntry struct {
	Version     catalog.Revision `json:"version"`
	Annotations Annotations      `json:"annotations"`
}

// Object is one version of one object as the platform returns it.
type Object struct {
	Name        catalog.ServiceName `json:"name"`
	Version     catalog.Revision    `json:"version"`
	Deleted     bool                `json:"deleted"`
	Body        json.RawMessage     `json:"body,omitempty"`
	Annotations Annotations         `json:"annotations"`

	// History contains the writes before this version, latest first, at most
	// HistoryLimit-1 of them. Lists and watches omit it.
	History []HistoryEntry `json:"history,omitempty"`

	historyIncomplete bool // annotations or history are malformed
}

// isInternal reports whether the object is one of burlmill's own, which configure nothing.
func (o *Object) isInternal() bool { return strings.HasPrefix(string(o.Name), InternalPrefix) }

// VersionOf returns the version that the command wrote, if the object's history
// still contains it.
func (o *Object) VersionOf(command CommandID) (catalog.Revision, bool) {
	if o.Annotations.CommandID == command && o.Version > 0 {
		return o.Version, true
	}
	for _, entry := range o.History {
		if entry.Annotations.CommandID == command {
			return entry.Version, true
		}
	}
	return 0, false
}

// historyCovers reports whether the history contains every write after the version.
func (o *Object) historyCovers(version catalog.Revision) bool {
	if o.historyIncomplete {
		return false
	}
	if len(o.History) < HistoryLimit-1 {
		return true
	}
	oldest := o.History[len(o.History)-1].Version
	return oldest <= version
}

// WriteResponse is the response to an accepted write.
type WriteResponse struct {
	Name    catalog.ServiceName `json:"name"`
	Version catalog.Revision    `json:"version"`
}

// ChangeList is the response to a list or a watch: the store's version and the
// objects changed after the requested version, oldest first.
type ChangeList struct {
	Version catalog.Revision `json:"version"`
	Objects []Object         `json:"objects"`
}

// Problem is the body of an error response other than a conflict.
type Problem struct {
	Error string `json:"error"`

	// Applied is false if the platform guarantees that a write was not applied
	// and will not be; absent if the outcome is unknown.
	Applied *bool `json:"applied,omitempty"`
}

// Machine is one entry of the machine list.
type Machine struct {
	ID       string           `json:"id"`
	Role     string           `json:"role"`
	Region   string           `json:"region"`
	Zone     catalog.ZoneName `json:"zone"`
	Control  netip.AddrPort   `json:"control"` // TCP address for other burlmill processes
	Data     netip.AddrPort   `json:"data"`    // UDP address for datagrams
	Draining bool             `json:"leaving"`
}

// MachineList is the response with the complete machine list.
type MachineList struct {
	Machines []json.RawMessage `json:"machines"` // each a Machine
}

// FormatEntityTag returns the entity tag of a version.
func FormatEntityTag(version catalog.Revision) string { return fmt.Sprintf("%q", fmt.Sprint(version)) }

// ParseEntityTag returns the version of an entity tag. Errors are of kind fault.Invalid.
func ParseEntityTag(tag string) (catalog.Revision, error) {
	var version catalog.Revision
	if _, err := fmt.Sscanf(tag, `"%d"`, &version); err != nil || FormatEntityTag(version) != tag {
		return 0, fault.InvalidField(HeaderIfMatch, tag, "must be a quoted version")
	}
	return version, nil
}

// Validate checks that both annotations are valid header values. Errors are of
// kind fault.Invalid.
func (a Annotations) Validate() error {
	if a.CommandID == "" {
		return fault.InvalidField(HeaderCommandID, a.CommandID, "must not be empty")
	}
	if err := validateAnnotation(HeaderCommandID, string(a.CommandID)); err != nil {
		return err
	}
	return validateAnnotation(HeaderAuthor, a.Author)
}

func validateAnnotation(field, value string) error {
	invisible := func(r rune) bool { return r <= ' ' || r > '~' }
	if len(value) > MaxAnnotationBytes || strings.ContainsFunc(value, invisible) {
		return fault.InvalidField(field, value, fmt.Sprintf("must be at most %d visible ASCII characters", MaxAnnotationBytes))
	}
	return nil
}
