// This file routes the log of the nbio library to the log of the process, with nbio's level info as
// debug.

package logging

import (
	"fmt"

	"github.com/apex/log"
	nbio "github.com/lesismal/nbio/logging"
)

// nbioEvent is the event name of lines that the nbio library logs.
const nbioEvent = "nbio"

// RouteNbio makes nbio log to the logger. Call it once, before the first engine starts: nbio has
// one logger for the whole process.
func RouteNbio(logger log.Interface) { nbio.SetLogger(nbioLogger{logger}) }

// nbioLogger implements nbio's Logger interface. Lines of nbio's level info, such as the start of
// an engine, are logged at level debug.
type nbioLogger struct{ log log.Interface }

func (l nbioLogger) Debug(format string, arguments ...any) {
	l.entry(format, arguments).Debug(nbioEvent)
}

func (l nbioLogger) Info(format string, arguments ...any) {
	l.entry(format, arguments).Debug(nbioEvent)
}

func (l nbioLogger) Warn(format string, arguments ...any) { l.entry(format, arguments).Warn(nbioEvent) }

func (l nbioLogger) Error(format string, arguments ...any) {
	l.entry(format, arguments).Error(nbioEvent)
}

func (l nbioLogger) entry(format string, arguments []any) *log.Entry {
	return l.log.WithField("message", fmt.Sprintf(format, arguments...))
}
