// This file implements the state machine of one UDP flow: it creates the datagrams, validates
// replies, and ends a flow after its lifetime, when its back end changes, or when it gets no reply
// within the reply timeout. flows.go and injected.go drive it.

package caller

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/internal/lab/backend"
)

// FlowLoad is the configuration of a load of UDP flows to one service.
type FlowLoad struct {
	Service  catalog.ServiceName
	Address  netip.AddrPort // of the service, at the fabric
	Flows    int            // concurrent flows
	Interval time.Duration  // between two datagrams of a flow; must be above 0
	Lifetime time.Duration  // after which a flow is replaced by a new one; 0: never
	// ReplyTimeout is the time since the last valid reply after which a flow counts as broken, or
	// as unanswered if it had none. The flow must also have sent ReplyTimeout/Interval datagrams
	// since then. ReplyTimeout should be several intervals.
	ReplyTimeout time.Duration
	Padding      int // bytes added to each datagram
}

// datagramsPerReplyTimeout returns the number of datagrams that a flow sends within ReplyTimeout,
// or 0 if Interval is not positive.
func (l *FlowLoad) datagramsPerReplyTimeout() uint64 {
	if l.Interval <= 0 {
		return 0
	}
	return uint64(l.ReplyTimeout / l.Interval)
}

// maxSendTimes is the number of most recent datagrams whose send times a flow keeps.
const maxSendTimes = 16

// flowState is the state machine of one UDP flow. It does no I/O and takes the current time as an
// argument. Its methods count events in the given result.
type flowState struct {
	load                    *FlowLoad
	name                    string
	startTime               time.Time
	lastReply               time.Time // time of the last valid reply; before the first, the start time
	nextSequence            uint64    // sequence number of the next datagram
	nextSequenceAtLastReply uint64    // value of nextSequence at the last valid reply; 0 before the first
	sentAt                  [maxSendTimes]time.Time
	backend                 catalog.BackendID // empty before the first valid reply
	closing                 bool
	minCloseSequence        uint64 // once closing, a reply to this or a later sequence number ends the flow
	ended                   bool
}

func newFlowState(load *FlowLoad, now time.Time, result *Result) *flowState {
	result.Flows++
	return &flowState{load: load, name: backend.FlowName(load.Service, rand.Uint64()), startTime: now, lastReply: now}
}

// nextDatagram returns the next datagram to send and counts it as sent. A flow older than its
// lifetime starts to close.
func (f *flowState) nextDatagram(now time.Time, result *Result) []byte {
	if f.load.Lifetime > 0 && now.Sub(f.startTime) >= f.load.Lifetime {
		f.startClosing()
	}
	result.DatagramsSent++
	if f.nextSequence > 0 {
		result.MaxSendGap = max(result.MaxSendGap, now.Sub(f.sentAt[(f.nextSequence-1)%maxSendTimes]))
	}
	f.sentAt[f.nextSequence%maxSendTimes] = now
	datagram := backend.Datagram{Flow: f.name, Sequence: f.nextSequence}
	f.nextSequence++
	return datagram.Append(nil, f.load.Padding)
}

// startClosing makes the flow end with the next reply to a datagram sent from now on.
func (f *flowState) startClosing() {
	if !f.closing {
		f.closing = true
		f.minCloseSequence = f.nextSequence
	}
}

// receive validates a reply and counts it. A reply from a back end other than that of the first
// reply breaks the flow.
func (f *flowState) receive(now time.Time, payload []byte, result *Result) {
	echo, err := backend.ParseEcho(payload)
	switch {
	case f.ended:
	case err != nil || echo.Datagram.Flow != f.name || echo.Datagram.Sequence >= f.nextSequence:
		result.Wrong++
	case echo.Service != f.load.Service:
		result.Misrouted++
	case f.backend != "" && echo.Backend != f.backend:
		result.FlowsMoved++
		f.markBroken(result)
	default:
		f.recordReply(now, echo, result)
	}
}

func (f *flowState) recordReply(now time.Time, echo backend.Echo, result *Result) {
	if f.backend == "" {
		f.backend = echo.Backend
		result.FlowsAnswered++
	}
	f.lastReply = now
	f.nextSequenceAtLastReply = f.nextSequence
	result.Replies++
	if f.nextSequence-echo.Datagram.Sequence <= maxSendTimes {
		result.recordLatency(now.Sub(f.sentAt[echo.Datagram.Sequence%maxSendTimes]))
	}
	if f.closing && echo.Datagram.Sequence >= f.minCloseSequence {
		f.ended = true
	}
}

// checkReplyTimeout ends a flow that got no valid reply for ReplyTimeout. The flow must also have
// sent datagramsPerReplyTimeout datagrams since then, so that a stall of the caller, which sends
// nothing meanwhile, does not count as missing replies.
func (f *flowState) checkReplyTimeout(now time.Time, result *Result) {
	if f.ended || now.Sub(f.lastReply) < f.load.ReplyTimeout || f.nextSequence-f.nextSequenceAtLastReply < f.load.datagramsPerReplyTimeout() {
		return
	}
	f.ended = true
	if f.backend == "" {
		result.FlowsUnanswered++
		result.UnansweredFlows = append(result.UnansweredFlows, UnansweredFlow{Flow: f.name, StartTime: f.startTime, EndTime: now})
		return
	}
	f.markBroken(result)
}

func (f *flowState) markBroken(result *Result) {
	f.ended = true
	result.FlowsBroken++
	result.BrokenFlows = append(result.BrokenFlows, BrokenFlow{Flow: f.name, Backend: f.backend})
}
