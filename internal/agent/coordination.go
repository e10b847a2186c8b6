package agent

import (
	"context"
	"net/netip"

	"github.com/burlmill/burlmill/catalog"
)

// Coordination is what an agent needs from the other burlmill processes.
// *coordination.Node implements it. All methods are safe for concurrent use.
type Coordination interface {
	// Snapshot returns the configuration in force.
	Snapshot() *catalog.Snapshot
	// Subscribe has the callback called with each new snapshot. It must not block.
	Subscribe(callback func(*catalog.Snapshot))
	// Pull asks for the configuration if the revision is above the one in force.
	Pull(at catalog.Revision)
	// Alive says whether the agent with that data address is believed to run.
	Alive(agent netip.AddrPort) bool
	// SelfConfirmed says whether nobody can have declared this process dead by now.
	SelfConfirmed() bool
	// AnnounceLeaving tells all that this process takes no new work.
	AnnounceLeaving()
	// Leave tells all that this process stops, and closes the node.
	Leave(ctx context.Context) error
	// Close stops without telling anyone. It may be called twice.
	Close()
}
