// Package hangup receives SIGHUP from an early moment of the process's start on: without a handler,
// the signal ends the process. Go initializes packages in the order of their import paths as soon as
// their imports are initialized. This package imports nothing but os/signal, so that it precedes the
// packages whose initialization takes long.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// received holds one signal, so that a signal before the first use of Signals is not lost.
var received = make(chan os.Signal, 1)

func init() { signal.Notify(received, syscall.SIGHUP) }

// Signals returns the channel on which SIGHUP is received. It is the same one at each call.
func Signals() <-chan os.Signal { return received }
