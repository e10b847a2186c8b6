package polling

import (
	"testing"

	"github.com/lesismal/nbio"
	"github.com/matryer/is"
	"go.uber.org/goleak"
)

// TestStopRightAfterStart stops engines as early as can be. With engine.Start in
// place of Start some stop hangs.
func TestStopRightAfterStart(t *testing.T) {
	defer goleak.VerifyNone(t)
	for range 300 {
		engine := nbio.NewEngine(nbio.Config{Name: "polling", NPoller: 1})
		is.New(t).NoErr(Start(engine))
		engine.Stop()
	}
}
