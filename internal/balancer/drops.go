// This file logs dropped datagrams and failed streams at a bounded rate.

package balancer

import (
	"net/netip"
	"time"

	"github.com/apex/log"

	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/internal/logging"
)

// Rate limit of log lines about dropped datagrams and failed streams, per log event.
const (
	dropLinesPerSecond = 1
	dropLineBurst      = 5
)

// dropEvents holds the log event of each reason. The events are rate-limited separately, so that
// frequent drops for one reason do not suppress the log lines of another.
var dropEvents = [dropReasonCount]string{
	dropInvalidHeader:  "drop-invalid-header",
	dropUnknownService: "drop-unknown-service",
	dropNoBackend:      "drop-no-back-end",
	dropOversize:       "drop-oversize",
	dropSendError:      "drop-send-error",
	dropWaitTimeout:    "drop-waited-long",
}

// dropLog logs dropped datagrams and failed streams at a bounded rate.
type dropLog struct{ limiter *logging.Limiter }

func newDropLog(logger log.Interface) *dropLog {
	return &dropLog{limiter: logging.NewLimiter(logging.LimiterOptions{
		Log:       logger,
		PerSecond: dropLinesPerSecond,
		Burst:     dropLineBurst,
		Now:       time.Now,
	})}
}

func (d *dropLog) log(reason dropReason, err error, from netip.AddrPort) {
	d.limiter.Log(log.WarnLevel, dropEvents[reason], log.Fields{
		"kind":  fault.KindOf(err).String(),
		"error": err,
		"from":  from,
	})
}

// flush logs the number of lines of each event suppressed since its last line.
func (d *dropLog) flush() { d.limiter.Flush() }
