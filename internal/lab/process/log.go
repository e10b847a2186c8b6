// This file stores the output of a child, finds lines in it, and notifies waiting goroutines of
// each write.

package process

import (
	"bytes"
	"strings"
	"sync"
)

// maxTailBytes is the maximum number of bytes of a child's log that LogTail returns and that an
// error message contains.
const maxTailBytes = 2000

// logBuffer stores the output of a child and notifies waiting goroutines of each write.
type logBuffer struct {
	mutex   sync.Mutex
	buffer  bytes.Buffer
	written chan struct{} // closed and replaced by each write
}

func newLogBuffer() *logBuffer {
	return &logBuffer{written: make(chan struct{})}
}

// Write implements io.Writer; it never fails.
func (l *logBuffer) Write(written []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	close(l.written)
	l.written = make(chan struct{})
	return l.buffer.Write(written)
}

// nextWrite returns a channel that is closed by the next write.
func (l *logBuffer) nextWrite() <-chan struct{} {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.written
}

func (l *logBuffer) text() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.buffer.String()
}

// tail returns the last part of the log, at most maxTailBytes.
func (l *logBuffer) tail() string {
	text := l.text()
	return text[max(0, len(text)-maxTailBytes):]
}

// findLine returns the first complete line that contains the text.
func (l *logBuffer) findLine(text string) (string, bool) {
	for line := range strings.Lines(l.text()) {
		if strings.HasSuffix(line, "\n") && strings.Contains(line, text) {
			return strings.TrimSuffix(line, "\n"), true
		}
	}
	return "", false
}
