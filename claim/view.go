package claim

import (
	"cmp"
	"slices"

	"github.com/burlmill/burlmill/catalog"
)

// ReplicaCount is how many replicas a view has, where the service has as many agents.
const ReplicaCount = 3

// ViewID orders the views of a service.
type ViewID struct {
	Epoch  catalog.Revision // store version of the write that founded the chain
	Number uint64           // place in the chain, from 1; 0 is no view
}

// Compare orders by epoch, then by number.
func (v ViewID) Compare(other ViewID) int {
	return cmp.Or(cmp.Compare(v.Epoch, other.Epoch), cmp.Compare(v.Number, other.Number))
}

// View is a set of replicas. A ViewID never stands for two different sets.
type View struct {
	ID      ViewID
	Members []Instance
	// Previous are the members of the view before in the chain, whose state the
	// members copy before they vote. Empty for the first view of a chain.
	Previous []Instance
	// Refounded says that the chain replaced an earlier one.
	Refounded bool
}

// Founding is the body of the store's object that founds a chain of views. It is
// encoded as JSON.
type Founding struct {
	Replaces catalog.Revision `json:"replaces"` // version of the object before; 0 if there was none
	Members  []Instance       `json:"members"`  // of the first view
}

// view returns the first view of the chain.
func (f *Founding) view(epoch catalog.Revision) View {
	return View{
		ID:        ViewID{Epoch: epoch, Number: 1},
		Members:   f.Members,
		Refounded: f.Replaces != 0,
	}
}

// successor returns the view after v with the given members.
func (v *View) successor(members []Instance) View {
	return View{
		ID:        ViewID{Epoch: v.ID.Epoch, Number: v.ID.Number + 1},
		Members:   members,
		Previous:  v.Members,
		Refounded: v.Refounded,
	}
}

// previousID returns the id of the view before in the chain.
func (v *View) previousID() ViewID {
	return ViewID{Epoch: v.ID.Epoch, Number: v.ID.Number - 1}
}

// has says whether the instance is a member.
func (v *View) has(instance Instance) bool { return slices.Contains(v.Members, instance) }

// exists says whether v is a view at all.
func (v *View) exists() bool { return v.ID.Number != 0 }

// isQuorum says whether the members in the set are a quorum of the view.
func (v *View) isQuorum(set map[Instance]bool) bool {
	return isQuorum(v.Members, func(member Instance) bool { return set[member] })
}

// sameMembers says whether two lists hold the same instances.
func sameMembers(a, b []Instance) bool {
	if len(a) != len(b) {
		return false
	}
	return !slices.ContainsFunc(a, func(member Instance) bool { return !slices.Contains(b, member) })
}
