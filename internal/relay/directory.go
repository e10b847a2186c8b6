package relay

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/apex/log"

	"github.com/burlmill/burlmill/handshake"
)

// The records of processes in the store: who has to be found after everybody has started
// anew. Agents look for balancers there while they hear none; balancers learn from it which
// agents there are, so that they can tell when they know all (handshake.Balancer.Record).

// Times of reading and writing the records.
const (
	directoryInterval   = 2 * time.Second // between two looks for balancers while none is heard
	directoryFirstDelay = 150 * time.Millisecond
	recordsInterval     = 30 * time.Second       // between two looks for agents; a guess: records of agents that have left count for so long
	recordsRetry        = time.Second            // after a look that failed: calls are priced, refused ones too
	publishRetry        = 2 * time.Second        // the same for the own record, which nobody needs at once
	configurationLook   = 50 * time.Millisecond  // between two looks whether a configuration is held
	withdrawTimeout     = 500 * time.Millisecond // of a process that stops
)

// record returns the record of this process.
func (n *node) record() Record {
	return Record{Role: n.role, ID: n.settings.Node.ID, Address: n.settings.Node.PeerAddress}
}

// publish notes in the store where this process is, so that others find it when
// their seeds are of no use.
func (n *node) publish() {
	for {
		begun := time.Now()
		revision, err := n.adapter.Publish(n.context, n.record())
		n.metrics.called("publish", begun, err)
		if err == nil {
			n.recorded.Store(revision)
			return
		}
		if errors.Is(err, context.Canceled) {
			return
		}
		n.limited.Log(log.WarnLevel, "publish-failed", log.Fields{"error": err})
		if !n.sleep(jitter(publishRetry)) {
			return
		}
	}
}

// withdraw removes the record of this process, which nobody needs to find any more.
func (n *node) withdraw() {
	revision := n.recorded.Load()
	if revision == 0 {
		return // it was not recorded
	}
	ctx, cancel := context.WithTimeout(n.context, withdrawTimeout)
	defer cancel()
	begun := time.Now()
	err := n.adapter.Withdraw(ctx, n.record(), revision)
	n.metrics.called("withdraw", begun, err)
	if err != nil {
		n.limited.Log(log.WarnLevel, "withdraw-failed", log.Fields{"error": err, "revision": revision})
	}
}

// directoryLoop looks for balancers in the store while none is heard.
func (n *node) directoryLoop() {
	pause := directoryFirstDelay
	for n.sleep(jitter(pause)) {
		pause = directoryInterval
		n.mutex.Lock()
		heard := n.contacts.Hears(time.Now(), handshake.RoleBalancer)
		n.mutex.Unlock()
		if heard {
			continue
		}
		addresses, err := n.readRecords(handshake.RoleBalancer, true)
		if err != nil {
			n.limited.Log(log.WarnLevel, "directory-failed", log.Fields{"role": handshake.RoleBalancer, "error": err})
			continue
		}
		n.limited.Log(log.InfoLevel, "directory-read", log.Fields{"balancers": len(addresses)})
	}
}

// recordsLoop reads which agents there are, so that the balancer greets them and knows when
// it hears all. Until a configuration is held the store may be down.
func (b *balancer) recordsLoop() {
	for b.sleep(configurationLook) && !b.holdsConfiguration() {
	}
	for {
		begun := time.Now() // what the answer holds may have changed since
		agents, err := b.readRecords(handshake.RoleAgent, false)
		pause := jitter(recordsRetry)
		if err == nil {
			b.mutex.Lock()
			b.flows.Record(begun, agents)
			b.mutex.Unlock()
			b.limited.Log(log.InfoLevel, "directory-read", log.Fields{"agents": len(agents)})
			pause = jitter(recordsInterval)
		} else {
			b.limited.Log(log.WarnLevel, "directory-failed", log.Fields{"role": handshake.RoleAgent, "error": err})
		}
		if !b.sleep(pause) {
			return
		}
	}
}

// readRecords reads the records of a role and adds the processes to the contacts.
func (n *node) readRecords(role handshake.Role, mayBeOld bool) ([]netip.AddrPort, error) {
	begun := time.Now()
	addresses, err := n.adapter.Recorded(n.context, role, mayBeOld)
	n.metrics.called("list", begun, err)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, address := range addresses {
		n.contacts.Add(time.Now(), address, false)
	}
	return addresses, err
}
