// Package logging writes the log of a burlmill process: one line of key=value
// pairs for each event, in logfmt. It is a handler for apex/log, in which the
// message is the name of the event. It also bounds how often events that
// traffic causes are logged, and takes in the lines that nbio logs by itself.
package logging

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-logfmt/logfmt"
)

// Keys that stand at the start of every line.
const (
	timeKey  = "time"
	levelKey = "level"
	eventKey = "event"
)

// leadingKeys lists the keys that a field may not take.
var leadingKeys = []string{timeKey, levelKey, eventKey}

// renamedSuffix is put after the key of a field that would repeat a leading key.
const renamedSuffix = "_"

// New returns a logger that writes to writer each event of the level (debug,
// info, warn or error) and above. An unknown level counts as info. Each event
// is one call of writer.Write.
func New(writer io.Writer, level string) *log.Logger {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		parsed = log.InfoLevel
	}
	return &log.Logger{Handler: &handler{writer: writer}, Level: parsed}
}

// handler formats events as lines. It is safe for concurrent use.
type handler struct {
	mutex  sync.Mutex
	writer io.Writer
	line   bytes.Buffer // reused for each event
}

// HandleLog writes one event.
func (h *handler) HandleLog(entry *log.Entry) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.line.Reset()
	if err := encode(&h.line, entry); err != nil {
		return fmt.Errorf("format event %q: %w", entry.Message, err)
	}
	if _, err := h.writer.Write(h.line.Bytes()); err != nil {
		return fmt.Errorf("write event %q: %w", entry.Message, err)
	}
	return nil
}

func encode(line io.Writer, entry *log.Entry) error {
	encoder := logfmt.NewEncoder(line)
	err := encoder.EncodeKeyvals(
		timeKey, entry.Timestamp.UTC().Format(time.RFC3339Nano),
		levelKey, entry.Level.String(),
		eventKey, entry.Message,
	)
	if err != nil {
		return err
	}
	for _, name := range entry.Fields.Names() {
		if err := encodeField(encoder, name, entry.Fields.Get(name)); err != nil {
			return err
		}
	}
	return encoder.EndRecord()
}

// encodeField writes one field. A value of a kind that logfmt doesn't know is
// written as fmt prints it; a field without a usable key is left out, because a
// line with one field less is better than no line.
func encodeField(encoder *logfmt.Encoder, name string, value any) error {
	if slices.Contains(leadingKeys, name) {
		name += renamedSuffix
	}
	err := encoder.EncodeKeyval(name, value)
	var unmarshalable *logfmt.MarshalerError
	if errors.Is(err, logfmt.ErrUnsupportedValueType) || errors.As(err, &unmarshalable) {
		err = encoder.EncodeKeyval(name, fmt.Sprint(value))
	}
	if errors.Is(err, logfmt.ErrInvalidKey) {
		return nil
	}
	return err
}
