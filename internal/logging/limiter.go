// This file implements Limiter, which limits the rate of events that traffic causes and logs how
// many lines it suppressed.

package logging

import (
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"
)

// suppressedKey is the key of the field with the number of lines that were not written: suppressed
// by a Limiter since the previous line of the event, or dropped by a Queue.
const suppressedKey = "suppressed"

// LimiterOptions configures a Limiter. Every field must be set.
type LimiterOptions struct {
	Log       log.Interface
	PerSecond float64          // sustained rate of lines per second for each event name
	Burst     int              // maximum number of lines in a burst for each event name
	Now       func() time.Time // clock
}

// Limiter logs events that traffic can cause at any rate. It limits the rate of lines for each
// event name separately, and reports how many were suppressed. It is safe for concurrent use. Event
// names must come from a fixed set, because the limiter keeps state for each name and never
// discards it.
type Limiter struct {
	options LimiterOptions
	mutex   sync.Mutex
	events  map[string]*limitedEvent
}

type limitedEvent struct {
	bucket     *rate.Limiter
	level      log.Level // of the latest line, written or suppressed
	suppressed uint64    // lines suppressed since the latest written line
}

func NewLimiter(options LimiterOptions) *Limiter {
	return &Limiter{options: options, events: map[string]*limitedEvent{}}
}

// Log logs the event at the level, or counts the line as suppressed if it exceeds the event's rate.
func (l *Limiter) Log(level log.Level, event string, fields log.Fields) {
	if line, allowed := l.Allow(level, event); allowed {
		line.Log(fields)
	}
}

// Line is a line that the limiter has allowed.
type Line struct {
	limiter    *Limiter
	level      log.Level
	event      string
	suppressed uint64 // lines of the event suppressed before this one
}

// Allow reports whether a line of the event may be written, and counts it as suppressed if not. It
// allows the caller to build fields only for lines that are written. The Line is valid only if the
// result is true.
func (l *Limiter) Allow(level log.Level, event string) (Line, bool) {
	suppressed, allowed := l.allow(level, event)
	return Line{l, level, event, suppressed}, allowed
}

// Log writes the line with the fields, and with the number of suppressed lines if there were any.
func (l Line) Log(fields log.Fields) {
	entry := l.limiter.options.Log.WithFields(fields)
	if l.suppressed > 0 {
		entry = entry.WithField(suppressedKey, l.suppressed)
	}
	writeEntry(entry, l.level, l.event)
}

// Flush logs, for each event with suppressed lines, a line with their number and no other fields.
// Call it periodically, and before the process exits.
func (l *Limiter) Flush() {
	l.mutex.Lock()
	pending := map[string]limitedEvent{}
	for name, event := range l.events {
		if event.suppressed > 0 {
			pending[name] = *event
			event.suppressed = 0
		}
	}
	l.mutex.Unlock()
	for name, event := range pending {
		writeEntry(l.options.Log.WithField(suppressedKey, event.suppressed), event.level, name)
	}
}

// allow reports whether a line may be written, and how many lines were suppressed before it.
func (l *Limiter) allow(level log.Level, name string) (suppressed uint64, allowed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	event := l.events[name]
	if event == nil {
		event = &limitedEvent{bucket: rate.NewLimiter(rate.Limit(l.options.PerSecond), l.options.Burst)}
		l.events[name] = event
	}
	event.level = level
	if !event.bucket.AllowN(l.options.Now(), 1) {
		event.suppressed++
		return 0, false
	}
	suppressed = event.suppressed
	event.suppressed = 0
	return suppressed, true
}

// writeEntry logs the event. A level above error is logged as error.
func writeEntry(entry *log.Entry, level log.Level, event string) {
	switch level {
	case log.DebugLevel:
		entry.Debug(event)
	case log.InfoLevel:
		entry.Info(event)
	case log.WarnLevel:
		entry.Warn(event)
	default:
		entry.Error(event)
	}
}
