// Package catalog owns the configuration as burlmill understands it: services,
// their back ends, and the share of traffic each site carries. It parses the
// platform's untrusted objects into validated typed values that all other
// packages rely on, and builds immutable snapshots from them. It does no I/O.
package catalog

import (
	"net/netip"
)

// ServiceName names a service and the configuration object that describes it.
type ServiceName string

// BackendID names one back end. It is unique within its service.
type BackendID string

// SiteName names a data centre.
type SiteName string

// ZoneName names a failure zone inside a site.
type ZoneName string

// Revision is the platform store's version: it grows by at least one with each
// accepted write of any object, so it orders all changes.
type Revision uint64

// Protocol is what callers speak to a service.
type Protocol string

// The protocols a service can have.
const (
	ProtocolUDP  Protocol = "udp"  // datagrams, delivered as they are
	ProtocolHTTP Protocol = "http" // HTTP/3 from callers, HTTP/1.1 to back ends
	ProtocolTCP  Protocol = "tcp"  // byte streams, delivered as they are
)

// BackendState says whether a back end may take new work.
type BackendState string

// The states of a back end in the configuration.
const (
	BackendActive  BackendState = "active"  // takes new work
	BackendLeaving BackendState = "leaving" // finishes what it has, takes no new work
)

// Backend is one host of a service and the agent that runs beside it.
type Backend struct {
	ID          BackendID      `json:"id"`
	Site        SiteName       `json:"site"`
	Zone        ZoneName       `json:"zone"`
	Agent       netip.AddrPort `json:"agent"`       // UDP address of the agent's data socket
	Address     netip.AddrPort `json:"address"`     // address of the back end itself, used by its agent only
	Weight      uint32         `json:"weight"`      // relative share of its site's new flows, 1 to MaximumWeight
	Slots       uint32         `json:"slots"`       // requests it can run at once, at least 1
	Connections uint32         `json:"connections"` // flows it can hold at once, at least 1
	State       BackendState   `json:"state"`
	Incarnation uint64         `json:"incarnation"` // raised when another host takes over the id or the address

	// Evacuated says that the back end's zone is evacuated. It is set in snapshots only, where the
	// State is BackendLeaving then whatever the object says.
	Evacuated bool `json:"-"`
}

// SiteShare is the part of a service's new flows that one site carries.
type SiteShare struct {
	Site    SiteName `json:"site"`
	Percent uint32   `json:"percent"` // 0 to 100; all shares of a service add up to 100
}

// Service is one load-balanced address and what stands behind it.
type Service struct {
	Name     ServiceName    `json:"name"`
	Protocol Protocol       `json:"protocol"`
	Address  netip.AddrPort `json:"address"` // address that callers use, unique in the catalog
	Shares   []SiteShare    `json:"shares"`
	Backends []Backend      `json:"backends"`
	// Evacuated lists the zones whose back ends take no new work until they are taken back.
	// What is written of each back end stays as it is meanwhile.
	Evacuated []ZoneName `json:"evacuated,omitempty"`

	// Revision is the store revision of the object this service was read from.
	// It is not part of the object's body.
	Revision Revision `json:"-"`
}

// Object is one version of one configuration object. Objects are the unit of
// writing, of watching and of dissemination.
type Object struct {
	Name     ServiceName
	Revision Revision // store revision of the write that made this version
	Deleted  bool     // the object was removed; Body is empty
	Body     []byte   // JSON of a Service

	// ClaimedAt is the revision since which the service has held its address
	// without a break. Of two services that claim one address the one that has
	// held it for longer keeps it. The store does not know it: 0 means that
	// Snapshot.With works it out from the version it holds.
	ClaimedAt Revision
}

// Limits on what an object may contain.
const (
	MaximumWeight   = 1000
	MaximumBackends = 64       // one bit each in a route's sets
	MaximumBody     = 64 << 10 // bytes
	MaximumName     = 63       // bytes
)
