// This file makes reads and watches of the store cancelable. When the watch policy becomes
// stricter, a balancer cancels its calls made under the earlier policy and ends the pause before
// the next one, so that the new policy takes effect at once.

package relay

import (
	"context"
	"time"

	"github.com/burlmill/burlmill/handshake"
	"github.com/burlmill/burlmill/presence"
)

// storeCall is a read or watch of the store that can be canceled.
type storeCall struct {
	policy  handshake.WatchPolicy // under which the call is made
	context context.Context
	cancel  context.CancelFunc
}

// newStoreCall returns a call that is about to be made, and stores it in slot instead of the
// completed one.
func (n *node) newStoreCall(slot **storeCall, policy handshake.WatchPolicy) *storeCall {
	call := &storeCall{policy: policy}
	call.context, call.cancel = context.WithCancel(n.context)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	(*slot).stop() // releases the context of the completed call
	*slot = call
	return call
}

// stop cancels the call. It does nothing if the call is nil.
func (p *storeCall) stop() {
	if p != nil {
		p.cancel()
	}
}

// canceled reports whether the call was canceled, by stop or because the node stops.
func (p *storeCall) canceled() bool { return p.context.Err() != nil }

// cancelOutdatedCalls cancels calls if the current policy requires more than theirs, since it would
// otherwise take effect only when they time out. It does nothing in an agent, which does not watch
// the store. The caller holds n.mutex.
func (n *node) cancelOutdatedCalls(now time.Time) {
	if n.role != presence.RoleBalancer {
		return
	}
	policy := n.computeWatchPolicy(now)
	for _, call := range []*storeCall{n.configurationCall, n.evacuationCall} {
		if call != nil && requiresMore(policy, call.policy) {
			call.stop()
		}
	}
}

// requiresMore reports whether a policy requires more than an earlier one: its mode is stricter, or
// the earlier one accepted stale answers because other balancers received current data, which they
// no longer do.
func requiresMore(policy, earlier handshake.WatchPolicy) bool {
	return policy.Mode > earlier.Mode || earlier.OthersCurrent && !policy.OthersCurrent && earlier.Mode != handshake.WatchCurrent
}

// pauseBeforeCall waits for the pause before the next call to the store. It returns early if the
// node stops or if the current policy, checked every storeCheckInterval, requires more than the
// given one, under which the pause was computed.
func (n *node) pauseBeforeCall(pause time.Duration, policy handshake.WatchPolicy) {
	for end := time.Now().Add(pause); ; {
		left := time.Until(end)
		if left <= 0 || n.policyRequiresMore(policy) || !n.sleep(min(left, storeCheckInterval)) {
			return
		}
	}
}

func (n *node) policyRequiresMore(policy handshake.WatchPolicy) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return requiresMore(n.computeWatchPolicy(time.Now()), policy)
}
