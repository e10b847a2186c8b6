package hollow

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/internal/coordination/exchange"
)

func TestScratchMemory(t *testing.T) {
	f := New(options(2, 1))
	now := f.now
	before := heapBytes()
	var objs []catalog.Object
	size := 0
	for i := range 5100 {
		name := catalog.ServiceName(fmt.Sprintf("service-%d", i))
		b := body(name, 1000+i)
		size += len(b)
		objs = append(objs, catalog.Object{Name: name, Revision: catalog.Revision(i + 1), Body: b})
	}
	t.Logf("objects raw %.1f MB", float64(size)/1e6)
	d := exchange.New(now, f.newMember(), rand.New(rand.NewPCG(1, 2)))
	_, err := d.StoreChanged(now, objs, 5100)
	if err != nil {
		t.Fatal(err)
	}
	objs = nil
	t.Logf("with catalog %.1f MB", float64(heapBytes()-before)/1e6)
	for range 3200 {
		m := f.newMember()
		d.Members().Merge(now, &m, "")
	}
	d.Tick(now)
	t.Logf("with members %.1f MB", float64(heapBytes()-before)/1e6)
	start := time.Now()
	for i := range 20 {
		name := catalog.ServiceName(fmt.Sprintf("service-%d", i))
		d.StoreChanged(now, []catalog.Object{{Name: name, Revision: catalog.Revision(5101 + i), Body: body(name, 1000+i)}}, catalog.Revision(5101+i))
	}
	t.Logf("one change %v", time.Since(start)/20)
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	t.Logf("sys %.1f MB", float64(ms.Sys)/1e6)
	runtime.KeepAlive(d)
	_ = netip.AddrPort{}
}
