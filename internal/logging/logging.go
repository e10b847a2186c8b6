// This file implements the logger of a process and the handler that formats its lines.

// Package logging writes the log of a burlmill process: one logfmt line of key=value pairs for each
// event. It provides a handler for apex/log; the message of an apex/log entry is the name of the
// event. It also limits the rate of events that traffic causes, queues lines for a slow reader, and
// routes the log of nbio to that of the process.
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

// Keys at the start of every line.
const (
	timeKey  = "time"
	levelKey = "level"
	eventKey = "event"
)

// leadingKeys lists the keys that are reserved for the start of the line.
var leadingKeys = []string{timeKey, levelKey, eventKey}

// renamedSuffix is appended to the key of a field if that is in leadingKeys.
const renamedSuffix = "_"

// New returns a logger that writes each event at or above the level (debug, info, warn or error) to
// writer. An unknown level is treated as info. Each event is one call of writer.Write, and calls do
// not overlap.
func New(writer io.Writer, level string) *log.Logger {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		parsed = log.InfoLevel
	}
	return &log.Logger{Handler: &handler{writer: writer}, Level: parsed}
}

// handler writes events as logfmt lines. It is safe for concurrent use.
type handler struct {
	mutex  sync.Mutex
	writer io.Writer
	line   bytes.Buffer // reused for each event
}

// HandleLog implements log.Handler.
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

// encodeField writes one field. A value that logfmt cannot encode is formatted by fmt. A field with
// an invalid key is omitted, so that the rest of the line is still written.
func encodeField(encoder *logfmt.Encoder, name string, value any) error {
	if slices.Contains(leadingKeys, name) {
		name += renamedSuffix
	}
	err := encoder.EncodeKeyval(name, value)
	var marshalerError *logfmt.MarshalerError
	if errors.Is(err, logfmt.ErrUnsupportedValueType) || errors.As(err, &marshalerError) {
		err = encoder.EncodeKeyval(name, fmt.Sprint(value))
	}
	if errors.Is(err, logfmt.ErrInvalidKey) {
		return nil
	}
	return err
}
