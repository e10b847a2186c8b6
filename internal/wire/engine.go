package wire

import (
	"runtime"
	"sync"

	"github.com/lesismal/nbio"

	"github.com/burlmill/burlmill/fault"
)

// sharedEngine is the nbio engine of all sockets of the process. It runs while
// at least one socket is open. An engine for each socket would be wasteful: each
// one keeps a table with a slot for every file descriptor the process may open.
type sharedEngine struct {
	mutex   sync.Mutex
	sockets int
	engine  *nbio.Engine
}

var engines sharedEngine

// acquire returns the running engine. Each successful call needs one release.
func (s *sharedEngine) acquire() (*nbio.Engine, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.engine == nil {
		engine := nbio.NewEngine(nbio.Config{Name: "wire", NPoller: runtime.GOMAXPROCS(0)})
		engine.OnRead(readSocket)
		if err := engine.Start(); err != nil {
			return nil, fault.Wrap(fault.Unavailable, err, "start nbio engine")
		}
		s.engine = engine
	}
	s.sockets++
	return s.engine, nil
}

// release gives one acquired reference back and stops the engine with the last.
func (s *sharedEngine) release() {
	s.mutex.Lock()
	s.sockets--
	var idle *nbio.Engine
	if s.sockets == 0 {
		idle = s.engine
		s.engine = nil
	}
	s.mutex.Unlock()
	if idle != nil {
		// Stopping waits for the pollers, and the caller may be one of them.
		go idle.Stop()
	}
}
