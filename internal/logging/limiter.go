package logging

import (
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"
)

// suppressedKey is the key of the field that counts the lines left out since
// the last line of the same event.
const suppressedKey = "suppressed"

// LimiterOptions says how a Limiter works. Every field must be set.
type LimiterOptions struct {
	Log       log.Interface
	PerSecond float64          // lines per second of one event, on average
	Burst     int              // lines of one event that may follow each other at once
	Now       func() time.Time // clock
}

// Limiter logs events that traffic can cause at any rate. It bounds the lines
// of each event name separately, and says how many it left out. It is safe for
// concurrent use. Event names must come from a fixed list, because the limiter
// remembers each one.
type Limiter struct {
	options LimiterOptions
	mutex   sync.Mutex
	events  map[string]*limitedEvent
}

type limitedEvent struct {
	bucket     *rate.Limiter
	level      log.Level
	suppressed uint64
}

// NewLimiter returns a limiter that has logged nothing yet.
func NewLimiter(options LimiterOptions) *Limiter {
	return &Limiter{options: options, events: map[string]*limitedEvent{}}
}

// Log logs the event at the level, or counts it as suppressed when the event's
// rate is used up.
func (l *Limiter) Log(level log.Level, event string, fields log.Fields) {
	if line, admitted := l.Admit(level, event); admitted {
		line.Log(fields)
	}
}

// Line is a line that may be written.
type Line struct {
	limiter    *Limiter
	level      log.Level
	event      string
	suppressed uint64 // lines of the event left out before it
}

// Admit says whether a line of the event may be written, and counts it as suppressed if not:
// for those that put fields together only for lines that are written.
func (l *Limiter) Admit(level log.Level, event string) (Line, bool) {
	suppressed, admitted := l.admit(level, event)
	return Line{l, level, event, suppressed}, admitted
}

// Log writes the line.
func (l Line) Log(fields log.Fields) {
	entry := l.limiter.options.Log.WithFields(fields)
	if l.suppressed > 0 {
		entry = entry.WithField(suppressedKey, l.suppressed)
	}
	write(entry, l.level, l.event)
}

// Flush logs one line for each event of which lines were suppressed since its
// last line. Call it now and then, and before the process ends.
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
		write(l.options.Log.WithField(suppressedKey, event.suppressed), event.level, name)
	}
}

// admit says whether a line may be written, and how many were left out before it.
func (l *Limiter) admit(level log.Level, name string) (suppressed uint64, allowed bool) {
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

func write(entry *log.Entry, level log.Level, event string) {
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
