package evacuation

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
)

var start = time.Unix(1000, 0)

// set returns a set that is known to be valid.
func set(revision catalog.Revision, zones ...catalog.ZoneName) Set {
	made, err := New(revision, zones...)
	if err != nil {
		panic(err)
	}
	return made
}

func TestSet(t *testing.T) {
	is := is.New(t)
	made := set(7, "b", "a", "b")
	is.Equal(made.Zones(), []catalog.ZoneName{"a", "b"})
	is.True(made.Has("a"))
	is.True(!made.Has("c"))
	is.True(!Set{}.Has("a"))
	_, err := New(7, "a", "")
	is.Equal(fault.Of(err), fault.Invalid)
	var many []catalog.ZoneName
	for i := range MaximumZones + 1 {
		many = append(many, catalog.ZoneName(rune('a'+i)))
	}
	_, err = New(7, many...)
	is.Equal(fault.Of(err), fault.Invalid)
	is.Equal(err.Error(), `evacuated zones = "65": must be at most 64`)
}

func TestChanges(t *testing.T) {
	is := is.New(t)
	next, err := set(7, "a", "b").With(Changes{List: []Change{{Zone: "a", Ended: true}, {Zone: "c"}, {Zone: "d"}, {Zone: "d", Ended: true}}, At: 12})
	is.NoErr(err)
	is.Equal(next, set(12, "b", "c"))
	same, err := next.With(Changes{List: []Change{{Zone: "a"}}, At: 11}) // old news
	is.NoErr(err)
	is.Equal(same, next)
	again, err := next.With(Changes{At: 15})
	is.NoErr(err)
	is.Equal(again, set(15, "b", "c"))
}

// TestNewerAbsenceBeatsOlderPresence: a zone that was taken back is not evacuated again by
// a process that has not heard of it, and that process is told.
func TestNewerAbsenceBeatsOlderPresence(t *testing.T) {
	is := is.New(t)
	var reader, late View
	is.True(late.Take(start, set(90, "a")))
	is.True(!reader.Take(start, set(100)))
	is.Equal(reader.Told(), Set{}) // it knows of no evacuation: nothing to tell
	is.True(!reader.Take(start, late.Told()))
	is.True(!reader.Set().Has("a"))
	is.True(late.Take(start.Add(time.Second), reader.Told()))
	is.True(!late.Set().Has("a"))
	is.Equal(late.Age(start.Add(3*time.Second)), 2*time.Second)
}

// TestViewsAgree plays the operators' writes, reads of the present and of old states, processes that
// tell each other in any order, that lose what is told and that start anew. Once everything has been
// told, all believe what the store holds, whoever was asked and whatever came late.
func TestViewsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const processes = 5
		history := []Set{set(1)}
		views := make([]View, processes)
		var late []Set // that was told and has not arrived
		process := func() int { return rapid.IntRange(0, processes-1).Draw(t, "process") }
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				last := history[len(history)-1]
				zone := rapid.SampledFrom([]catalog.ZoneName{"a", "b", "c"}).Draw(t, "zone")
				at := last.Revision() + catalog.Revision(rapid.IntRange(1, 3).Draw(t, "raised"))
				next, err := last.With(Changes{List: []Change{{Zone: zone, Ended: last.Has(zone)}}, At: at})
				if err != nil {
					t.Fatal(err)
				}
				history = append(history, next)
			},
			"read": func(t *rapid.T) {
				views[process()].Take(start, rapid.SampledFrom(history).Draw(t, "state"))
			},
			"tell":  func(t *rapid.T) { late = append(late, views[process()].Told()) },
			"hear":  func(t *rapid.T) { hearOne(t, &late, &views[process()]) },
			"lose":  func(t *rapid.T) { hearOne(t, &late, &View{}) },
			"start": func(t *rapid.T) { views[process()] = View{} },
			"": func(t *rapid.T) {
				for i := range views {
					set := views[i].Set()
					is := func(state Set) bool {
						return state.Revision() == set.Revision() && slices.Equal(state.Zones(), set.Zones())
					}
					if set.Revision() > 0 && !slices.ContainsFunc(history, is) {
						t.Fatalf("process %d believes %v, which the store never held", i, set)
					}
				}
			},
		})
		last := history[len(history)-1]
		views[0].Take(start, last)
		for range 2 {
			for i := range views {
				for j := range views {
					views[j].Take(start, views[i].Told())
				}
			}
		}
		for i := range views {
			if !slices.Equal(views[i].Set().Zones(), last.Zones()) {
				t.Fatalf("process %d believes %v, the store holds %v", i, views[i].Set(), last)
			}
		}
	})
}

// hearOne lets the view hear one of the sets that are on their way.
func hearOne(t *rapid.T, late *[]Set, view *View) {
	if len(*late) == 0 {
		t.Skip("nothing is on its way")
	}
	at := rapid.IntRange(0, len(*late)-1).Draw(t, "message")
	view.Take(start, (*late)[at])
	*late = slices.Delete(*late, at, at+1)
}
