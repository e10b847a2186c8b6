package backend

import "sync"

// slots counts running requests against a limit.
type slots struct {
	mutex sync.Mutex
	limit uint32 // 0: none
	busy  uint32
	peak  uint32
	shed  uint64
}

// take claims a slot; false means that none is free.
func (s *slots) take() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.limit > 0 && s.busy >= s.limit {
		s.shed++
		return false
	}
	s.busy++
	s.peak = max(s.peak, s.busy)
	return true
}

func (s *slots) release() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.busy--
}

func (s *slots) counts() (busy, peak uint32, shed uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.busy, s.peak, s.shed
}
