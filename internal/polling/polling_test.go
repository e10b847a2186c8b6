package polling

import (
	"runtime"
	"testing"

	"github.com/lesismal/nbio"
	"github.com/matryer/is"
	"go.uber.org/goleak"
)

// TestStopRightAfterStart stops engines as early as can be: with one processor
// the poller's goroutine begins only when the caller blocks. With engine.Start in
// place of Start the first stop hangs.
func TestStopRightAfterStart(t *testing.T) {
	defer goleak.VerifyNone(t)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for range 300 {
		engine := nbio.NewEngine(nbio.Config{Name: "polling", NPoller: 1})
		is.New(t).NoErr(Start(engine))
		engine.Stop()
	}
}
