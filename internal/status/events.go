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

// Bounds of the memory of events.
const (
	EventCapacity = 512 // events
	detailLimit   = 256 // bytes of one event's fields
)

// nodeField is the field that every line of a process has; the table has a
// column for it.
const nodeField = "node"

// Event is one remembered event.
type Event struct {
	Time   time.Time
	Level  log.Level
	Name   string
	Detail string // fields as key=value pairs, cut at a limit
}

// Events remembers the latest EventCapacity events of a process's log. It is
// safe for concurrent use.
type Events struct {
	mutex sync.Mutex
	ring  []Event
	next  int // place of the oldest event once the ring is full
}

// NewEvents returns an empty memory.
func NewEvents() *Events { return &Events{} }

// Record returns a logger that logs like the given one and remembers each event
// of level info and above, also those that are below the given one's level.
func (e *Events) Record(logger *log.Logger) *log.Logger {
	return &log.Logger{
		Handler: &recorder{events: e, next: logger},
		Level:   min(logger.Level, log.InfoLevel),
	}
}

// recorder is the handler of a logger whose events are remembered.
type recorder struct {
	events *Events
	next   *log.Logger
}

// HandleLog remembers the event and passes it on.
func (r *recorder) HandleLog(entry *log.Entry) error {
	if entry.Level >= log.InfoLevel {
		r.events.add(Event{Time: entry.Timestamp, Level: entry.Level, Name: entry.Message, Detail: detailOf(entry.Fields)})
	}
	if entry.Level < r.next.Level {
		return nil
	}
	return r.next.Handler.HandleLog(entry)
}

func (e *Events) add(event Event) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(e.ring) < EventCapacity {
		e.ring = append(e.ring, event)
		return
	}
	e.ring[e.next] = event
	e.next = (e.next + 1) % EventCapacity
}

// All returns the remembered events, oldest first.
func (e *Events) All() []Event {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	ordered := make([]Event, 0, len(e.ring))
	ordered = append(ordered, e.ring[e.next:]...)
	return append(ordered, e.ring[:e.next]...)
}

// Rows adds the rows of the table of events to the collector.
func (e *Events) Rows(node string, into *query.Collector) {
	now := time.Now()
	for _, event := range e.All() {
		into.Add(query.Row{
			query.TextValue(node),
			query.DurationValue(now.Sub(event.Time)),
			query.TextValue(event.Level.String()),
			query.TextValue(event.Name),
			query.TextValue(event.Detail),
		})
	}
}

// detailOf formats fields. A field that cannot be formatted is left out.
func detailOf(fields log.Fields) string {
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
	return cut(strings.Join(pairs, " "))
}

// cut shortens a text to the limit without breaking a character.
func cut(text string) string {
	if len(text) <= detailLimit {
		return text
	}
	end := detailLimit
	for !utf8.RuneStart(text[end]) {
		end--
	}
	return text[:end]
}
