package logging

import (
	"fmt"

	"github.com/apex/log"
	nbio "github.com/lesismal/nbio/logging"
)

// nbioEvent is the event name of every line that nbio logs.
const nbioEvent = "nbio"

// RouteNbio makes nbio write its own lines to the logger. Call it once, before
// the first engine starts: nbio keeps one logger for the whole process.
func RouteNbio(logger log.Interface) { nbio.SetLogger(nbioLogger{logger}) }

// nbioLogger implements nbio's logger. What nbio calls information, such as the
// start of an engine, is of use only when debugging.
type nbioLogger struct{ log log.Interface }

// Debug logs a formatted text at level debug.
func (l nbioLogger) Debug(format string, arguments ...any) {
	l.entry(format, arguments).Debug(nbioEvent)
}

// Info logs a formatted text at level debug.
func (l nbioLogger) Info(format string, arguments ...any) {
	l.entry(format, arguments).Debug(nbioEvent)
}

// Warn logs a formatted text at level warn.
func (l nbioLogger) Warn(format string, arguments ...any) { l.entry(format, arguments).Warn(nbioEvent) }

// Error logs a formatted text at level error.
func (l nbioLogger) Error(format string, arguments ...any) {
	l.entry(format, arguments).Error(nbioEvent)
}

func (l nbioLogger) entry(format string, arguments []any) *log.Entry {
	return l.log.WithField("message", fmt.Sprintf(format, arguments...))
}
