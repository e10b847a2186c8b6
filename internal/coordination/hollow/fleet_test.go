package hollow

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/burlmill/burlmill/catalog"
)

func options(nodes, regions int) Options {
	return Options{
		Nodes: nodes, Regions: regions, ZonesPerRegion: 2, Readers: 2,
		ZoneDelay: 500 * time.Microsecond, RegionDelay: time.Millisecond, WideDelay: 40 * time.Millisecond,
		Seed: 1,
	}
}

// body is a service object of about 1 KB.
func body(name catalog.ServiceName, port int) []byte {
	backends := ""
	for i := range 4 {
		backends += fmt.Sprintf(`,{"id":"%s-host-%d","site":"old","zone":"zone-0-%d","agent":"10.1.%d.%d:7001","address":"10.2.%d.%d:8080","weight":100,"slots":7,"connections":2000,"state":"active","incarnation":%d}`,
			name, i, i, port%250, i+1, port%250, i+1, port)
	}
	return fmt.Appendf(nil, `{"name":%q,"protocol":"udp","address":"10.9.%d.1:%d","shares":[{"site":"old","percent":100}],"backends":[%s]}`,
		name, len(name), port, backends[1:])
}

// TestMeasure reports the figures of fleets of several sizes. It is run on
// demand: HOLLOW_NODES=3000 go test -run TestMeasure -v
func TestMeasure(t *testing.T) {
	nodes, err := strconv.Atoi(os.Getenv("HOLLOW_NODES"))
	if err != nil {
		t.Skip("HOLLOW_NODES is not set")
	}
	regions := 3
	if nodes < 30 {
		regions = 1
	}
	before := heapBytes()
	fleet := New(options(nodes, regions))
	for i := range 20 {
		fleet.Write(catalog.ServiceName(fmt.Sprintf("service-%d", i)), body(catalog.ServiceName(fmt.Sprintf("service-%d", i)), 1000+i))
	}
	fleet.Run(30 * time.Second)
	t.Logf("nodes=%d memory per node: %.0f KB", nodes, float64(heapBytes()-before)/float64(nodes)/1024)
	measure(t, fleet, "steady", 30*time.Second, func() {})
	change := 0
	var waits []time.Duration
	measure(t, fleet, "target rate", 120*time.Second, func() {
		change++
		name := catalog.ServiceName(fmt.Sprintf("service-%d", change%20))
		began := fleet.Now()
		revision := fleet.Write(name, body(name, 2000+change))
		waits = append(waits, convergence(fleet, began, func(node *Node) bool { return node.Decider.Snapshot().Revision() >= revision }, 7870*time.Millisecond)...)
		if change%6 == 0 {
			fleet.Leave(fleet.Running()[change%fleet.options.Nodes])
			fleet.Join()
		}
	})
	report(t, "change in force", waits)
	crashed := fleet.Running()[5]
	began := fleet.Now()
	fleet.Crash(crashed)
	report(t, "crash known", convergence(fleet, began, func(node *Node) bool {
		member := node.Decider.Members().Table().Get(crashed.Member.ID)
		return member == nil || member.Status.Gone()
	}, 20*time.Second))
	runtime.KeepAlive(fleet)
}

// measure runs the fleet while calling step, which lets virtual time pass or not.
func measure(t *testing.T, fleet *Fleet, what string, duration time.Duration, step func()) {
	nodes := fleet.Running()
	bytes := map[*Node]int64{}
	messages := map[*Node]int64{}
	for _, node := range nodes {
		bytes[node], messages[node] = node.Bytes, node.Messages
	}
	began, cpu := fleet.Now(), fleet.CPU
	for fleet.Now().Sub(began) < duration {
		at := fleet.Now()
		step()
		if fleet.Now().Equal(at) {
			fleet.Run(time.Second)
		}
	}
	seconds := fleet.Now().Sub(began).Seconds()
	var rates, wire []float64
	for _, node := range nodes {
		if node.Running {
			count := float64(node.Messages - messages[node])
			rate := float64(node.Bytes-bytes[node]) / seconds
			rates = append(rates, rate)
			wire = append(wire, rate+count*PacketBytes/seconds)
		}
	}
	t.Logf("%s: bytes/s per node %s; with TCP/IP headers %s; decider CPU %.4f%% of a core per node",
		what, quantiles(rates), quantiles(wire), 100*(fleet.CPU-cpu).Seconds()/seconds/float64(len(nodes)))
}

func quantiles(values []float64) string {
	slices.Sort(values)
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return fmt.Sprintf("mean %.0f p50 %.0f p99 %.0f max %.0f", sum/float64(len(values)), values[len(values)/2], values[len(values)*99/100], values[len(values)-1])
}

func report(t *testing.T, what string, waits []time.Duration) {
	slices.Sort(waits)
	t.Logf("%s: n=%d p50 %v p99 %v max %v", what, len(waits), waits[len(waits)/2], waits[len(waits)*99/100], waits[len(waits)-1])
}

// convergence runs the fleet for the duration and returns when each node that
// ran from the beginning to the end met the condition.
func convergence(fleet *Fleet, began time.Time, met func(*Node) bool, duration time.Duration) []time.Duration {
	const step = 10 * time.Millisecond
	waiting := fleet.Running()
	var waits []time.Duration
	for fleet.Now().Sub(began) < duration {
		fleet.Run(step)
		still := waiting[:0]
		for _, node := range waiting {
			switch {
			case !node.Running:
			case met(node):
				waits = append(waits, fleet.Now().Sub(began))
			default:
				still = append(still, node)
			}
		}
		waiting = still
	}
	for _, node := range waiting {
		if node.Running {
			waits = append(waits, time.Hour)
		}
	}
	return waits
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
