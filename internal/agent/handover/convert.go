// This file builds the load reports of back ends from their loads, and converts load reports and
// refusals to and from protobuf messages. It limits the retry delays of received refusals.

package handover

import (
	"time"

	"github.com/burlmill/burlmill/admission"
	"github.com/burlmill/burlmill/catalog"
	burlmillv1 "github.com/burlmill/burlmill/gen/burlmill/v1"
	"github.com/burlmill/burlmill/internal/agent/gateway"
	"github.com/burlmill/burlmill/placement"
)

// ownReport returns the load report of a back end for its own agent.
func ownReport(backend catalog.BackendID, load gateway.Load) placement.LoadReport {
	return placement.LoadReport{Backend: backend, Sequence: load.Sequence, Busy: load.Busy, Slots: load.Slots}
}

// peerReport returns the load report of a back end for other agents. A draining back end has no
// slots for them.
func peerReport(backend catalog.BackendID, load gateway.Load) placement.LoadReport {
	report := ownReport(backend, load)
	if load.Draining {
		report.Slots = 0
	}
	return report
}

func formatReport(service catalog.ServiceName, report placement.LoadReport) *burlmillv1.BackendReport {
	return &burlmillv1.BackendReport{
		Service:  string(service),
		Backend:  string(report.Backend),
		Sequence: report.Sequence,
		Busy:     report.Busy,
		Slots:    report.Slots,
	}
}

func parseReport(report *burlmillv1.BackendReport) placement.LoadReport {
	return placement.LoadReport{
		Backend:  catalog.BackendID(report.GetBackend()),
		Sequence: report.GetSequence(),
		Busy:     report.GetBusy(),
		Slots:    report.GetSlots(),
	}
}

func formatRefusal(decision admission.Decision) *burlmillv1.ReserveResponse_Refused {
	return &burlmillv1.ReserveResponse_Refused{Refused: &burlmillv1.Refused{
		Reason:                 formatReason(decision.Reason),
		RetryAfterMilliseconds: uint64(decision.RetryAfter.Milliseconds()),
	}}
}

func formatReason(reason admission.Reason) burlmillv1.RefusalReason {
	switch reason {
	case admission.ReasonNoSlot:
		return burlmillv1.RefusalReason_REFUSAL_REASON_NO_SLOT
	case admission.ReasonDeadline:
		return burlmillv1.RefusalReason_REFUSAL_REASON_DEADLINE
	default:
		return burlmillv1.RefusalReason_REFUSAL_REASON_LEAVING
	}
}

func parseReason(reason burlmillv1.RefusalReason) admission.Reason {
	switch reason {
	case burlmillv1.RefusalReason_REFUSAL_REASON_NO_SLOT:
		return admission.ReasonNoSlot
	case burlmillv1.RefusalReason_REFUSAL_REASON_DEADLINE:
		return admission.ReasonDeadline
	default:
		return admission.ReasonDraining
	}
}

// parseRefusal returns the refusal, with the retry delay limited to
// [admission.MinRetryAfter, admission.MaxRetryAfter].
func parseRefusal(refused *burlmillv1.Refused) admission.Decision {
	milliseconds := min(refused.GetRetryAfterMilliseconds(), uint64(admission.MaxRetryAfter.Milliseconds()))
	retryAfter := time.Duration(milliseconds) * time.Millisecond
	return newRefusal(parseReason(refused.GetReason()), retryAfter)
}

// newRefusal returns a refusal with a retry delay of at least admission.MinRetryAfter.
func newRefusal(reason admission.Reason, retryAfter time.Duration) admission.Decision {
	return admission.Decision{Reason: reason, RetryAfter: max(retryAfter, admission.MinRetryAfter)}
}
