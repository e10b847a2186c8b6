// This file registers gauges, logs unreachable peers, counts and logs decisions of the flow logic,
// and applies changed settings.

package relay

import (
	"reflect"
	"time"

	"github.com/apex/log"

	"github.com/burlmill/burlmill/handshake"
	"github.com/burlmill/burlmill/internal/settings"
)

// addGauges registers the gauges that balancers and agents have in common.
func (n *node) addGauges() {
	n.metrics.addGauge("configuration_version", "Version of the configuration in force, 0 if there is none.",
		n.withLock(func(time.Time) float64 {
			return float64(n.table.Version())
		}))
	n.metrics.addGauge("configuration_age_seconds", "Time since the configuration in force was taken in.",
		n.withLock(func(now time.Time) float64 {
			return now.Sub(n.configuredAt).Seconds()
		}))
	n.metrics.addGauge("configuration_confirmed_age_seconds", "Time since the store last told this process itself what it held then, 0 if it never has.",
		n.withLock(func(now time.Time) float64 {
			return n.confirmedAge(now).Seconds()
		}))
	n.metrics.addGauge("configuration_behind_seconds", "Time since another process is known to hold a newer configuration, 0 if none is.",
		n.withLock(func(now time.Time) float64 {
			return n.behindAge(now).Seconds()
		}))
	n.metrics.addGauge("configuration_refused", "1 if the store's newest configuration could not be used, so that an older one is in force.",
		n.withLock(func(time.Time) float64 {
			return boolValue(n.configurationError != nil)
		}))
	n.metrics.addGauge("evacuated_zones", "Zones that get no new flows because they are evacuated.",
		n.withLock(func(time.Time) float64 {
			return float64(len(n.evacuations.Set().Zones()))
		}))
	n.metrics.addGauge("evacuations_age_seconds", "Time since the evacuated zones changed as far as this process knows, 0 if they never did.",
		n.withLock(func(now time.Time) float64 {
			return n.evacuations.Age(now).Seconds()
		}))
	n.metrics.addGauge("peers_heard", "Processes heard of late.",
		n.withLock(func(now time.Time) float64 {
			return float64(n.peers.CountReachable(now))
		}))
}

// withLock returns a function that calls read with the lock held.
func (n *node) withLock(read func(now time.Time) float64) func() float64 {
	return func() float64 {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		return read(time.Now())
	}
}

// checkLostPeers logs peers that have become unreachable, and cancels store calls that are
// outdated. The lock is held.
func (n *node) checkLostPeers(now time.Time) {
	if now.Before(n.nextPeerCheckAt) {
		return
	}
	n.nextPeerCheckAt = now.Add(peerCheckInterval)
	for _, peer := range n.peers.NewlyUnreachable(now) {
		n.limitedLog.Log(log.WarnLevel, "peer-unreachable", log.Fields{"peer": peer.Address, "id": peer.Status.ID, "role": peer.Status.Role,
			"age": now.Sub(peer.LastSeenAt), "shutting_down": peer.Status.ShuttingDown})
	}
	n.cancelOutdatedCalls(now)
}

// applySettings applies settings that have changed while the process runs. Only seeds and those that
// apply takes effect at once; it is called with the lock held, and may be nil. Whether other changes
// need a restart is logged.
func (n *node) applySettings(changed settings.Settings, apply func(settings.Settings)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if apply != nil {
		apply(changed)
	}
	n.addSeeds(time.Now(), changed.Peers.Seeds)
	withChangedSeeds := n.settings
	withChangedSeeds.Peers.Seeds = changed.Peers.Seeds
	needsRestart := !reflect.DeepEqual(withChangedSeeds, changed)
	n.log.WithFields(log.Fields{"seeds": len(changed.Peers.Seeds), "needs_restart": needsRestart}).Info("settings-reloaded")
	n.settings.Peers.Seeds = changed.Peers.Seeds
}

// reloadLoop applies changed settings until the node stops.
func (n *node) reloadLoop(changes <-chan settings.Settings, apply func(settings.Settings)) {
	for {
		select {
		case <-n.context.Done():
			return
		case changed := <-changes:
			n.applySettings(changed, apply)
		}
	}
}

// recordDecision counts and logs a decision of the decider. The lock is held.
func (n *node) recordDecision(d handshake.Decision) {
	n.metrics.countDecision(d)
	if line, admitted := n.limitedLog.Allow(log.InfoLevel, string(d.Event)); admitted {
		line.Log(decisionFields(d))
	}
}

// decisionFields returns the log fields of a decision, without those that are zero.
func decisionFields(d handshake.Decision) log.Fields {
	fields := log.Fields{}
	if d.Key.Caller.IsValid() {
		fields["caller"], fields["address"] = d.Key.Caller, d.Key.Service
	}
	if d.Service != "" {
		fields["service"] = d.Service
	}
	if d.Peer.IsValid() {
		fields["peer"] = d.Peer
	}
	if d.Reason != "" {
		fields["reason"] = d.Reason
	}
	if d.Version != 0 {
		fields["version"] = d.Version
	}
	if d.Attempts != 0 {
		fields["attempts"] = d.Attempts
	}
	if d.Load != (handshake.Load{}) {
		fields["busy"] = d.Load.InFlight
		fields["slots"] = d.Load.Slots
	}
	if d.Age != 0 {
		fields["age"] = d.Age
	}
	return fields
}
