package fabric

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
)

// picker selects a balancer at random for each datagram and each attempt to connect a stream.
type picker struct {
	mutex     sync.Mutex
	random    *rand.Rand
	balancers []netip.AddrPort
}

func newPicker(seed uint64) *picker {
	return &picker{random: rand.New(rand.NewPCG(seed, 0))}
}

func (p *picker) set(balancers []netip.AddrPort) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.balancers = slices.Clone(balancers)
}

// pick returns a uniformly random balancer, or false if there is none.
func (p *picker) pick() (netip.AddrPort, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.balancers) == 0 {
		return netip.AddrPort{}, false
	}
	return p.balancers[p.random.IntN(len(p.balancers))], true
}
