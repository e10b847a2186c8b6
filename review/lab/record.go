// Package lab holds the stand-ins of the review's scripts: the platform's store, hosts, clients and
// routers, and the control of burlmill's own processes. All of it uses loopback addresses, the real
// clock and the standard library only.
package lab

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what happened to a file, one line each, with the seconds since its start.
type Record struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, started: time.Now()}, nil
}

// Line writes one line.
func (r *Record) Line(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// Seconds returns the time since the start of the record, as in its lines.
func (r *Record) Seconds(at time.Time) float64 { return at.Sub(r.started).Seconds() }

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
