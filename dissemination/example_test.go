package dissemination_test

import (
	"fmt"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/dissemination"
)

// One process has read a change from the store. Another hears its offer, pulls
// what it lacks and stands at the same revision.
func Example() {
	now := time.Unix(1_700_000_000, 0)
	budget := dissemination.NewBudget(now, 1500, 1<<20)
	reader := dissemination.NewMachine(budget)
	other := dissemination.NewMachine(budget)
	body := `{"name":"lessons","protocol":"udp","address":"10.0.0.1:443","shares":[{"site":"old","percent":100}]}`
	changed := []catalog.Object{{Name: "lessons", Revision: 7, Body: []byte(body)}}
	if err := reader.TakeFromStore(changed, 7); err != nil {
		fmt.Println(err)
	}

	other.Observe(now, "reader", reader.Offer())
	pull, _ := other.NextPull(now)
	if err := other.Take(now, pull, reader.Serve(now, pull.After)); err != nil {
		fmt.Println(err)
	}

	fmt.Println(other.Snapshot().Revision(), other.Snapshot().Service("lessons").Address)
	// Output: 7 10.0.0.1:443
}
