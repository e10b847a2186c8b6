package settings

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWatch: a signal and a changed file give the settings anew, a file that has
// not changed or is not valid does not.
func TestWatch(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	is.NoErr(os.WriteFile(path, []byte("a"), 0o600))
	signals, ticks, changes := make(chan os.Signal), make(chan time.Time), make(chan Settings)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	loads, refusals := 0, 0
	var failure error
	go func() {
		defer close(done)
		watch(ctx, path, signals, ticks, func() (Settings, error) {
			loads++
			return Settings{Node: Node{ID: string(rune('0' + loads))}}, failure
		}, func(error) { refusals++ }, changes)
	}()
	signals <- nil
	is.Equal((<-changes).Node.ID, "1")
	ticks <- time.Time{} // nothing has changed
	select {
	case signals <- nil: // taken once the tick has been handled
	case changed := <-changes:
		t.Fatalf("settings %q although nothing has changed", changed.Node.ID)
	}
	is.Equal((<-changes).Node.ID, "2")
	is.NoErr(os.WriteFile(path, []byte("longer"), 0o600))
	ticks <- time.Time{}
	is.Equal((<-changes).Node.ID, "3")
	failure = errors.New("not valid")
	signals <- nil
	ticks <- time.Time{} // it still runs
	cancel()
	<-done
	is.Equal(loads, 4)
	is.Equal(refusals, 1)
}
