package agent

import (
	"context"
	"net/netip"
	"time"

	"github.com/burlmill/burlmill/catalog"
)

// Coordination connects an agent to the other burlmill processes. *coordination.Node implements it.
// All methods are safe for concurrent use.
type Coordination interface {
	// Snapshot returns the configuration in force.
	Snapshot() *catalog.Snapshot
	// Subscribe registers a callback for each new snapshot. The callback must not block.
	Subscribe(callback func(*catalog.Snapshot))
	// Pull requests a newer configuration if the revision is above the one in force.
	Pull(at catalog.Revision)
	// Alive reports whether the agent with that data address is assumed to be running.
	Alive(agent netip.AddrPort) bool
	// SelfConfirmed reports whether the liveness lease of this process is valid. While it is, no
	// other process of the region has declared this one dead, except across a network partition.
	SelfConfirmed() bool
	// ConfirmedSince returns the time since which the liveness lease has been valid without
	// interruption, or was until it expired. It is zero if the lease has never been valid.
	ConfirmedSince() time.Time
	// OfferedRevision returns the highest revision of the configuration that peers have recently
	// reported, as of the latest renewal of the liveness lease or later.
	OfferedRevision() catalog.Revision
	// AnnounceShutdown announces to all processes that this one accepts no new flows.
	AnnounceShutdown()
	// Shutdown sends the shutdown notice to all processes and closes the node.
	Shutdown(ctx context.Context) error
	// Close stops the node without a shutdown notice. It may be called more than once.
	Close()
}
