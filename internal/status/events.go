// This file implements EventBuffer, which records the events of a process's log for operators'
// queries. It keeps the latest MaxEvents.

package status

import (
	"fmt"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/apex/log"
	"github.com/go-logfmt/logfmt"

	"github.com/burlmill/burlmill/query"
)

// Limits of an EventBuffer.
const (
	MaxEvents      = 512
	maxDetailBytes = 256 // bytes of an event's formatted fields
)

// nodeField is the log field with the id of the process. It is not repeated in the detail of an
// event, because the table has a column for it.
const nodeField = "node"

// Event is a recorded log event.
type Event struct {
	Time   time.Time
	Level  log.Level
	Name   string
	Detail string // fields in logfmt without the process's id, truncated to maxDetailBytes
}

// EventBuffer keeps the latest MaxEvents events of a process's log in memory. It is safe for
// concurrent use.
type EventBuffer struct {
	mutex  sync.Mutex
	ring   []Event
	oldest int // index of the oldest event once the ring is full
}

func NewEventBuffer() *EventBuffer { return &EventBuffer{} }

// WrapLogger returns a logger that adds events of level info or above to the buffer, and forwards
// those at or above the given logger's level to that logger.
func (e *EventBuffer) WrapLogger(logger *log.Logger) *log.Logger {
	return &log.Logger{
		Handler: &recordingHandler{events: e, next: logger},
		Level:   min(logger.Level, log.InfoLevel),
	}
}

// recordingHandler is the log handler of WrapLogger.
type recordingHandler struct {
	events *EventBuffer
	next   *log.Logger
}

// HandleLog implements log.Handler. It returns the error of the next logger's handler.
func (r *recordingHandler) HandleLog(entry *log.Entry) error {
	if entry.Level >= log.InfoLevel {
		r.events.add(Event{Time: entry.Timestamp, Level: entry.Level, Name: entry.Message, Detail: formatFields(entry.Fields)})
	}
	if entry.Level < r.next.Level {
		return nil
	}
	return r.next.Handler.HandleLog(entry)
}

func (e *EventBuffer) add(event Event) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(e.ring) < MaxEvents {
		e.ring = append(e.ring, event)
		return
	}
	e.ring[e.oldest] = event
	e.oldest = (e.oldest + 1) % MaxEvents
}

// All returns the events in the buffer, oldest first.
func (e *EventBuffer) All() []Event {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	ordered := make([]Event, 0, len(e.ring))
	ordered = append(ordered, e.ring[e.oldest:]...)
	return append(ordered, e.ring[:e.oldest]...)
}

// AddRows adds a row for each event to the collector, which must be that of a query of TableEvents.
// node is the id of this process.
func (e *EventBuffer) AddRows(node string, collector *query.Collector) {
	now := time.Now()
	for _, event := range e.All() {
		collector.Add(query.Row{
			query.TextValue(node),
			query.DurationValue(now.Sub(event.Time)),
			query.TextValue(event.Level.String()),
			query.TextValue(event.Name),
			query.TextValue(event.Detail),
		})
	}
}

// formatFields formats fields in logfmt, without nodeField and fields that logfmt cannot encode.
func formatFields(fields log.Fields) string {
	var pairs []string
	for _, name := range fields.Names() {
		if name == nodeField {
			continue
		}
		pair, err := logfmt.MarshalKeyvals(name, fmt.Sprint(fields.Get(name)))
		if err == nil {
			pairs = append(pairs, string(pair))
		}
	}
	return truncateDetail(strings.Join(pairs, " "))
}

// truncateDetail truncates text to at most maxDetailBytes without splitting a UTF-8 sequence.
func truncateDetail(text string) string {
	if len(text) <= maxDetailBytes {
		return text
	}
	end := maxDetailBytes
	for !utf8.RuneStart(text[end]) {
		end--
	}
	return text[:end]
}
