// This file compares the process records of two balancers and sends each of them what it lacks
// (anti-entropy), within rate limits. It decides when to start a comparison, and defines the digest
// of the records.

package handshake

import (
	"net/netip"
	"time"

	"github.com/burlmill/burlmill/presence"
)

// Balancers include a digest of their records in each status to another balancer. If the digests
// differ for some time, or a balancer has just started, the two compare their records part by part,
// which repairs differences after lost messages or a partition.

// Intervals and limits of record comparison.
const (
	compareDelay           = 500 * time.Millisecond // minimum time for which digests must differ
	remoteCompareDelay     = 3 * time.Second        // the same between zones
	compareInterval        = 5 * time.Second        // minimum between two comparisons by a balancer
	startupCompareInterval = 300 * time.Millisecond // the same during startupCompareTime
	startupCompareTime     = 5 * time.Second        // after the start, when few processes are known
	compareSettleTime      = 300 * time.Millisecond // since the latest change, for gossip to arrive
	// newBalancerShare is the share of the other's records below which this balancer counts as new,
	// so that its comparison is not delayed.
	newBalancerShare = 0.5
	// MaxPartsPerRequest is the maximum number of digests in one request. It keeps a request within
	// the MTU of common networks.
	MaxPartsPerRequest = 256
	// maxAnswerMessages bounds the messages that answer one request. The rest is left to the next
	// comparison.
	maxAnswerMessages = 6
)

// CompareRequest requests another balancer's records of the parts whose digests differ from those
// in the request.
type CompareRequest struct {
	First   presence.Part // part of the first digest; the others have the next prefixes
	Digests []uint32      // of the sender's records, at most MaxPartsPerRequest
}

func (CompareRequest) message() {}

// comparison is the state of the comparison that a balancer runs with another.
type comparison struct {
	peer      netip.AddrPort // zero: none is running
	nextPart  presence.Part  // first part of the next request
	notBefore time.Time      // the next comparison starts no earlier
}

// checkDigest compares the digest in another balancer's status with this balancer's own. It starts
// a comparison of records if the digests have differed for long enough or this balancer has just
// started, and no other comparison is running or recent.
func (p *Peers) checkDigest(now time.Time, peer *peerState, status Status) {
	if status.Role != presence.RoleBalancer || status.Records.RunningCount == 0 {
		return
	}
	peer.runningCount = int(status.Records.RunningCount)
	if p.Digest() == status.Records {
		peer.digestDiffersSince = time.Time{}
		return
	}
	if peer.digestDiffersSince.IsZero() {
		peer.digestDiffersSince = now
	}
	starting := now.Sub(p.startedAt) < startupCompareTime
	if now.Before(p.comparison.notBefore) || p.comparison.peer.IsValid() ||
		!starting && now.Sub(peer.digestDiffersSince) < p.compareDelayOf(peer) {
		return
	}
	interval := startupCompareInterval
	if !starting {
		interval = compareInterval
		if now.Sub(p.lastChangeAt) < compareSettleTime {
			return
		}
	}
	bits := presence.PartBits(max(p.records.RunningCount(), peer.runningCount))
	p.comparison = comparison{
		peer:      peer.address,
		nextPart:  presence.Part{Bits: bits},
		notBefore: now.Add(interval),
	}
}

// compareDelayOf returns for how long the digest of the peer must differ before the records are
// compared.
func (p *Peers) compareDelayOf(peer *peerState) time.Duration {
	switch {
	case float64(p.records.RunningCount()) < newBalancerShare*float64(peer.runningCount):
		return 0
	case peer.status.Zone != p.zone:
		return remoteCompareDelay
	default:
		return compareDelay
	}
}

// RecordsDigest is a digest of a balancer's records, including its own.
type RecordsDigest struct {
	RunningCount uint32 // number of records not marked failed
	Hash         uint32 // of these records
}

// Digest returns the digest of this balancer's records.
func (p *Peers) Digest() RecordsDigest {
	return RecordsDigest{RunningCount: uint32(p.records.RunningCount()), Hash: p.records.Digest()}
}

// nextCompareRequest returns the next request of the running comparison, or nil if there is none or
// the rate limit does not allow it now. It ends the comparison after the last request, or if the
// other balancer is not seen.
func (p *Peers) nextCompareRequest(now time.Time) []OutgoingRecords {
	peer := p.peers[p.comparison.peer]
	if peer == nil || !peer.seenRecently(now) {
		p.comparison.peer = netip.AddrPort{}
		return nil
	}
	if p.messageLimiter.take(now, 1) == 0 {
		return nil
	}
	request := CompareRequest{First: p.comparison.nextPart}
	digests := p.records.PartDigests(p.comparison.nextPart.Bits)
	last := min(int(request.First.Prefix)+MaxPartsPerRequest, len(digests))
	request.Digests = digests[request.First.Prefix:last]
	due := []OutgoingRecords{{p.comparison.peer, request}}
	p.comparison.nextPart.Prefix = uint32(last)
	if last == len(digests) {
		p.comparison.peer = netip.AddrPort{}
		peer.digestDiffersSince = time.Time{}
	}
	return due
}

// HandleCompareRequest returns the answers to another balancer's request: the records of the parts
// that differ, as far as the rate limits and maxAnswerMessages allow. Parts with more than
// recordsPerMessage records, and the parts after them, are not answered.
func (p *Peers) HandleCompareRequest(now time.Time, request CompareRequest) []Records {
	var answers []Records
	var answer Records
	for _, part := range p.differingParts(request) {
		list := p.records.PartRecords(part)
		if len(list) > recordsPerMessage || p.answerLimiter.take(now, len(list)) < len(list) {
			break
		}
		if len(answer.List)+len(list) > recordsPerMessage {
			answers = append(answers, answer)
			answer = Records{}
		}
		if len(answers) == maxAnswerMessages {
			return answers
		}
		answer.List = append(answer.List, list...)
		answer.Parts = append(answer.Parts, part)
	}
	if len(answer.Parts) > 0 {
		answers = append(answers, answer)
	}
	return answers[:p.messageLimiter.take(now, len(answers))]
}

// differingParts returns the parts of a request whose digests differ from this balancer's.
func (p *Peers) differingParts(request CompareRequest) []presence.Part {
	own := p.records.PartDigests(request.First.Bits)
	var parts []presence.Part
	for i, digest := range request.Digests {
		prefix := request.First.Prefix + uint32(i)
		if int(prefix) < len(own) && own[prefix] != digest {
			parts = append(parts, presence.Part{Bits: request.First.Bits, Prefix: prefix})
		}
	}
	return parts
}
