// This file defines the types of the configuration, from objects and services to back ends, and the
// limits on their contents.

// Package catalog defines the configuration: services, their back ends, and each
// site's share of traffic. It parses the platform's untrusted objects into validated
// typed values and builds immutable snapshots from them. It does no I/O.
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

// Revision is the version of the platform store. Each accepted write of any object
// increases it by at least one, so it orders all changes.
type Revision uint64

// Protocol is the protocol between callers and a service.
type Protocol string

// Supported protocols.
const (
	ProtocolUDP  Protocol = "udp"  // datagrams, forwarded unchanged
	ProtocolHTTP Protocol = "http" // HTTP/3 from callers, HTTP/1.1 to back ends
	ProtocolTCP  Protocol = "tcp"  // byte streams, forwarded unchanged
)

// BackendState is the configured state of a back end, which decides whether it accepts new flows.
type BackendState string

// Back-end states.
const (
	BackendActive   BackendState = "active"  // accepts new flows
	BackendDraining BackendState = "leaving" // serves its open flows and accepts no new ones
)

// Backend is one host of a service, with the agent that runs on it.
type Backend struct {
	ID          BackendID      `json:"id"`
	Site        SiteName       `json:"site"`
	Zone        ZoneName       `json:"zone"`
	Agent       netip.AddrPort `json:"agent"`       // UDP address of the agent's data socket
	Address     netip.AddrPort `json:"address"`     // back end's address, used only by its agent
	Weight      uint32         `json:"weight"`      // relative to others of its site, 1 to MaxWeight
	Slots       uint32         `json:"slots"`       // maximum concurrent requests, at least 1
	Connections uint32         `json:"connections"` // maximum concurrent flows, at least 1
	State       BackendState   `json:"state"`
	// Incarnation is increased when another host takes over the id or the address.
	Incarnation uint64 `json:"incarnation"`

	// Evacuated reports whether the back end's zone is evacuated. It is set only in snapshots,
	// where it implies State BackendDraining, regardless of the state in the object.
	Evacuated bool `json:"-"`
}

// SiteShare is the percentage of a service's new flows that one site receives.
type SiteShare struct {
	Site    SiteName `json:"site"`
	Percent uint32   `json:"percent"` // 0 to 100; the shares of a service add up to 100
}

// Service is one load-balanced address and its back ends.
type Service struct {
	Name     ServiceName    `json:"name"`
	Protocol Protocol       `json:"protocol"`
	Address  netip.AddrPort `json:"address"` // address that callers use, unique in the catalog
	Shares   []SiteShare    `json:"shares"`
	Backends []Backend      `json:"backends"`
	// EvacuatedZones lists the zones whose back ends accept no new flows. The configured state of
	// each back end is unchanged and applies again when its zone is removed from the list.
	EvacuatedZones []ZoneName `json:"evacuated,omitempty"`

	// Revision is the store revision of the object from which this service was parsed.
	// It is not part of the object's body.
	Revision Revision `json:"-"`
}

// Object is one version of one configuration object. The configuration is written,
// watched and distributed to peers in whole objects.
type Object struct {
	Name     ServiceName
	Revision Revision // store revision of the write that created this version
	Deleted  bool     // the object was deleted; Body is empty
	Body     []byte   // JSON of a Service

	// ClaimedAt is the revision since which the service has had its present address
	// without interruption. If two services claim the same address, the one with the
	// lower ClaimedAt gets it. The store does not supply this field. Snapshot.With replaces
	// 0 by Revision, and keeps the earlier claim of the version in the snapshot if that
	// version has the same address.
	ClaimedAt Revision
}

// Limits on the contents of an object.
const (
	MaxWeight     = 1000
	MaxBackends   = 64       // per service; the back-end sets of a route have one bit for each
	MaxBodySize   = 64 << 10 // bytes
	MaxNameLength = 63       // bytes
)
