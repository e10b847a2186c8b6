package settings

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// watchInterval is the time between two looks whether the file has changed, which
// it may do without a signal.
const watchInterval = 2 * time.Second

// fileState tells one content of a file from another.
type fileState struct {
	modified time.Time
	size     int64
}

func stateOf(path string) fileState {
	information, err := os.Stat(path)
	if err != nil {
		return fileState{} // it is being replaced
	}
	return fileState{modified: information.ModTime(), size: information.Size()}
}

// Watch returns the settings anew whenever the file at path has changed or the
// process gets SIGHUP, until the context ends. Settings that are not valid are
// left out, and refused is told why: the process goes on with those it has.
func Watch(ctx context.Context, path string, load func() (Settings, error), refused func(error)) <-chan Settings {
	changes := make(chan Settings)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		defer signal.Stop(signals)
		ticker := time.NewTicker(watchInterval)
		defer ticker.Stop()
		watch(ctx, path, signals, ticker.C, load, refused, changes)
	}()
	return changes
}

func watch(ctx context.Context, path string, signals <-chan os.Signal, ticks <-chan time.Time, load func() (Settings, error), refused func(error), changes chan<- Settings) {
	known := stateOf(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-ticks:
			if stateOf(path) == known {
				continue
			}
		}
		known = stateOf(path)
		loaded, err := load()
		if err != nil {
			refused(err)
			continue
		}
		select {
		case changes <- loaded:
		case <-ctx.Done():
			return
		}
	}
}
