package balancer

import (
	"unsafe"

	"github.com/burlmill/burlmill/internal/coordination"
	"github.com/burlmill/burlmill/membership"
)

// nodeConfiguration gives a forwarder the view of this process's node. It
// belongs to the forwarder's goroutine.
type nodeConfiguration struct {
	*coordination.Node
	members []*membership.Member // as of the last call of MembershipVersion
	version uint64
}

// MembershipVersion returns a number that grows when the node has published
// another list of members.
func (n *nodeConfiguration) MembershipVersion() uint64 {
	members := n.Members()
	if unsafe.SliceData(members) != unsafe.SliceData(n.members) || len(members) != len(n.members) {
		n.members = members
		n.version++
	}
	return n.version
}
