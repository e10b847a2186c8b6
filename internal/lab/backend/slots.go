package backend

import "sync"

// slots limits the number of concurrent requests, and counts running and rejected requests. It is
// safe for concurrent use.
type slots struct {
	mutex   sync.Mutex
	maxBusy uint32 // 0: no limit
	busy    uint32
	peak    uint32 // highest value of busy
	shed    uint64 // requests rejected because no slot was free
}

// acquire occupies a slot until release. If none is free, it increments shed and returns false.
func (s *slots) acquire() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.maxBusy > 0 && s.busy >= s.maxBusy {
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
