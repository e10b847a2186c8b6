// This file reloads the settings when their file changes or the process receives SIGHUP. Settings
// that are not valid are reported and not used.

package settings

import (
	"context"
	"os"
	"time"

	"github.com/burlmill/burlmill/internal/hangup"
)

// watchInterval is the interval at which Watch checks whether the settings file has changed.
const watchInterval = 2 * time.Second

// fileState identifies a version of a file, or its absence if zero. A change of the content that
// keeps the modification time and the size is not detected.
type fileState struct {
	modified time.Time
	size     int64
}

func fileStateOf(path string) fileState {
	info, err := os.Stat(path)
	if err != nil {
		return fileState{} // for example, while the file is being replaced
	}
	return fileState{modified: info.ModTime(), size: info.Size()}
}

// Watch calls load whenever the file at path has changed or the process receives SIGHUP, and sends
// the settings to the returned channel, which is never closed. If load fails, Watch sends nothing
// and calls onInvalid with the error. Both functions are called from a goroutine of Watch, which
// runs until the context ends.
func Watch(ctx context.Context, path string, load func() (Settings, error), onInvalid func(error)) <-chan Settings {
	changes := make(chan Settings)
	go func() {
		ticker := time.NewTicker(watchInterval)
		defer ticker.Stop()
		watch(ctx, path, hangup.Signals(), ticker.C, load, onInvalid, changes)
	}()
	return changes
}

// watch is the loop of Watch. A signal always reloads the settings, a tick only if the file has
// changed. Tests pass their own signals and ticks.
func watch(ctx context.Context, path string, signals <-chan os.Signal, ticks <-chan time.Time, load func() (Settings, error), onInvalid func(error), changes chan<- Settings) {
	lastState := fileStateOf(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-ticks:
			if fileStateOf(path) == lastState {
				continue
			}
		}
		lastState = fileStateOf(path)
		loaded, err := load()
		if err != nil {
			onInvalid(err)
			continue
		}
		select {
		case changes <- loaded:
		case <-ctx.Done():
			return
		}
	}
}
