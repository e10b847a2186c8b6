package relay

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/routing"
)

// Sizes and times of one play of random faults.
const (
	playTime     = 3 * time.Minute
	playStep     = 100 * time.Millisecond
	contactTime  = 4 * time.Second // without a fault, after which a balancer is in touch
	longestFault = 7 * time.Second
	playSeeds    = 3 // in each run; BURLMILL_FLEET_SEEDS asks for more, from another seed each time
)

// failingSeeds are the seeds that ever failed, each with a line on the cause.
var failingSeeds = []uint64{
	0, 6, // a process that the store serves again was in a pause of up to 6 s, meant for one that others read for
	8913054805518465963, 16738588974043306642, // the only balancer that the store served was no reader, and tried it every 4 to 6 s
	// A watch of evacuations on a silent connection: that of the configuration had begun just after, and showed nothing. The
	// stand-in had no keep-alive then.
	16063175460937339262,
}

// TestConfigurationThroughSeriesOfFaults: faults of all kinds come at random, overlap and repeat, while the configuration and the
// evacuations change. Whoever is in touch follows within the bounds.
func TestConfigurationThroughSeriesOfFaults(t *testing.T) {
	seeds := slices.Clone(failingSeeds)
	for seed := range uint64(playSeeds) {
		seeds = append(seeds, seed+1000)
	}
	if more, err := strconv.Atoi(os.Getenv("BURLMILL_FLEET_SEEDS")); err == nil {
		for range more {
			seeds = append(seeds, rand.Uint64())
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 0))
				play := &faultyPlay{fleet: newFleet(t, 3+random.IntN(18)), random: random, calm: map[*member]time.Time{}}
				defer play.end()
				play.pass(contactTime)
				play.run()
			})
		})
	}
}

// faultyPlay is a fleet with random faults.
type faultyPlay struct {
	*fleet
	random     *rand.Rand
	calm       map[*member]time.Time // when the latest fault of each ended, or will end
	confirmed  []confirmedChange     // changes of the configuration, the latest last
	evacuated  []catalog.ZoneName
	evacuateAt time.Time // of the latest evacuation
	repairs    []playRepair
}

// confirmedChange is when the store confirmed a version.
type confirmedChange struct {
	version routing.Version
	at      time.Time
}

// playRepair ends a fault.
type playRepair struct {
	due time.Time
	end func()
}

func (p *faultyPlay) run() {
	for begun := time.Now(); time.Since(begun) < playTime && !p.t.Failed(); time.Sleep(playStep) {
		p.repairDue()
		switch draw := p.random.IntN(100); {
		case draw < 6:
			p.confirmed = append(p.confirmed, confirmedChange{p.store.configure(), time.Now()})
		case draw < 8:
			zone := catalog.ZoneName(fmt.Sprintf("zone-%d", len(p.evacuated)))
			p.store.evacuate(zone)
			p.evacuated = append(p.evacuated, zone)
			p.evacuateAt = time.Now()
		case draw < 20:
			p.store.write(func(*storeState) {})
		case draw < 23:
			p.injectAtSome()
		case draw < 24:
			p.silence()
		}
		p.check()
	}
}

func (p *faultyPlay) repairDue() {
	p.repairs = slices.DeleteFunc(p.repairs, func(r playRepair) bool {
		if time.Now().Before(r.due) {
			return false
		}
		r.end()
		return true
	})
}

// injectAtSome lets one fault strike one balancer, the present readers, or any share of all.
func (p *faultyPlay) injectAtSome() {
	victims := []*member{p.members[p.random.IntN(len(p.members))]}
	switch p.random.IntN(3) {
	case 0:
		victims = p.readers()
	case 1:
		share := p.random.Float64()
		victims = slices.DeleteFunc(slices.Clone(p.members), func(*member) bool { return p.random.Float64() > share })
	}
	kind := p.random.IntN(4)
	length := time.Duration(p.random.Int64N(int64(longestFault)))
	for _, victim := range victims {
		p.inject(victim, kind, time.Now().Add(length))
	}
}

func (p *faultyPlay) inject(victim *member, kind int, due time.Time) {
	if victim.node == nil || p.calm[victim].After(time.Now()) {
		return // it has one already
	}
	p.calm[victim] = due
	var end func()
	switch kind {
	case 0:
		victim.kill()
		end = victim.start
	case 1:
		victim.link.lose()
		end = victim.link.regain
	case 2:
		victim.link.refuse()
		end = func() { victim.link.refuses.Store(false) }
	case 3:
		p.separate(victim)
		end = func() { p.join(victim) }
	}
	p.repairs = append(p.repairs, playRepair{due, end})
}

// silence lets all open connections to the store fall silent, which disturbs everybody.
func (p *faultyPlay) silence() {
	p.store.silence()
	for _, m := range p.members {
		if p.calm[m].Before(time.Now()) {
			p.calm[m] = time.Now()
		}
	}
}

// check checks what holds for those in touch.
func (p *faultyPlay) check() {
	now := time.Now()
	var due routing.Version
	for _, change := range p.confirmed {
		if now.Sub(change.at) > inForceBound {
			due = change.version
		}
	}
	for _, m := range p.members {
		if m.node == nil || now.Sub(p.calm[m]) < contactTime {
			continue
		}
		if held := m.holds(); held < due {
			p.t.Errorf("%v: %v holds version %d, %d was confirmed more than %v ago; readers %v", now, m.address, held, due, inForceBound, p.describe())
			return
		}
		if len(p.evacuated) > 0 && now.Sub(p.evacuateAt) > evacuatedBound && !m.taken.has(m.node, p.evacuated[len(p.evacuated)-1]) {
			p.t.Errorf("%v: %v does not know of an evacuation of %v ago; readers %v", now, m.address, now.Sub(p.evacuateAt), p.describe())
			return
		}
	}
}

// describe says what each balancer is in, for a failure.
func (p *faultyPlay) describe() string {
	text := ""
	for _, m := range p.members {
		if m.node == nil {
			text += fmt.Sprintf("\n%v down", m.address)
			continue
		}
		m.node.mutex.Lock()
		text += fmt.Sprintf("\n%v reads %v version %d, calm for %v, refused %v, served %v fresh %v confirmed %v unfetched %v", m.address, m.node.reading, m.node.table.Version(), time.Since(p.calm[m]),
			m.link.refuses.Load(), m.node.storeServed(time.Now()), m.node.storeFresh(time.Now()), m.node.confirmedAge(time.Now()), m.node.isUnfetched())
		m.node.mutex.Unlock()
	}
	return text
}
