package settings

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWatch checks that a signal or a changed file causes the settings to be sent, and that an
// unchanged file or invalid settings do not.
func TestWatch(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	is.NoErr(os.WriteFile(path, []byte("a"), 0o600))
	signals, ticks, changes := make(chan os.Signal), make(chan time.Time), make(chan Settings)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	loads, failures := 0, 0
	var loadError error
	go func() {
		defer close(done)
		watch(ctx, path, signals, ticks, func() (Settings, error) {
			loads++
			return Settings{Node: Node{ID: string(rune('0' + loads))}}, loadError
		}, func(error) { failures++ }, changes)
	}()
	signals <- nil
	is.Equal((<-changes).Node.ID, "1")
	ticks <- time.Time{} // nothing has changed
	select {
	case signals <- nil: // received after the tick was handled
	case changed := <-changes:
		t.Fatalf("got settings %q for an unchanged file", changed.Node.ID)
	}
	is.Equal((<-changes).Node.ID, "2")
	is.NoErr(os.WriteFile(path, []byte("longer"), 0o600))
	ticks <- time.Time{}
	is.Equal((<-changes).Node.ID, "3")
	loadError = errors.New("not valid")
	signals <- nil
	ticks <- time.Time{} // the loop still runs after an error
	cancel()
	<-done
	is.Equal(loads, 4)
	is.Equal(failures, 1)
}

// TestSignalBeforeWatchReloads guards against a reload that is lost because SIGHUP is received
// before Watch is called.
func TestSignalBeforeWatchReloads(t *testing.T) {
	is := is.New(t)
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	load := func() (Settings, error) { return Settings{Node: Node{ID: "reloaded"}}, nil }
	changes := Watch(t.Context(), "absent", load, func(error) {})
	is.Equal((<-changes).Node.ID, "reloaded")
}
