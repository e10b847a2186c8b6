// This file tests that objects of another writer which no process can use affect nothing else: the
// processes go on, load is served, later valid changes take effect, and the objects are counted.

package test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/internal/lab/cluster"
	"github.com/burlmill/burlmill/internal/objects"
)

// malformedServices are bodies of objects that are no usable service, by object name. Each is valid
// JSON by itself.
var malformedServices = map[catalog.ServiceName]string{
	"odd-deep":     strings.Repeat("[", 9_999) + strings.Repeat("]", 9_999),
	"odd-type":     `7`,
	"odd-empty":    `{}`,
	"odd-number":   `{"name":"odd-number","backends":[{"weight":1e999}]}`,
	"odd-negative": `{"name":"odd-negative","backends":[{"slots":-1}]}`,
	"odd-port":     `{"name":"odd-port","protocol":"udp","address":"10.0.0.1:70000","shares":[],"backends":[]}`,
	"odd-unused":   `{"name":"odd-unused","more":99999999999999999999999999}`,
}

// TestMalformedObjectsAffectNothingElse guards against nodes that end, stop following the store or
// stop serving because of one object that they cannot use.
func TestMalformedObjectsAffectNothingElse(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, cluster.Plan{
		Balancers: 2,
		Services: []cluster.ServicePlan{
			{Name: media, Protocol: catalog.ProtocolUDP, Slots: slotsPerBackend, Sites: singleSite(2)},
			{Name: lessons, Protocol: catalog.ProtocolHTTP, Slots: slotsPerBackend, Sites: singleSite(2)},
		},
	})
	flows := d.startFlows(d.flowLoad(media, 20, 0))
	requests := d.startRequests(lessons, 4)
	put := func(name catalog.ServiceName, expected catalog.Revision, body []byte) catalog.Revision {
		revision, err := d.StoreClient.Put(t.Context(), objects.Write{Name: name, Expected: expected, Body: body, Command: objects.NewCommandID(), Author: "another"})
		d.is.NoErr(err)
		return revision
	}
	for name, body := range malformedServices {
		put(name, 0, []byte(body))
	}

	t.Log("a valid change takes effect")
	d.awaitRevision(d.UpdateService(t.Context(), media, func(service *catalog.Service) { service.EvacuatedZones = []catalog.ZoneName{"zone-9"} }))

	t.Log("an operator's command works")
	command, err := d.StartCommand("drain", string(lessons), string(d.backendsOf(lessons)[0].ID), "--author", "operator")
	d.is.NoErr(err)
	<-command.Exited()
	d.is.Equal(command.ExitCode(), 0)

	t.Log("a valid write of a malformed object takes effect")
	current, err := d.StoreClient.Get(t.Context(), "odd-deep")
	d.is.NoErr(err)
	valid, err := d.StoreClient.Get(t.Context(), media)
	d.is.NoErr(err)
	service, err := catalog.ParseService(media, valid.Body)
	d.is.NoErr(err)
	service.Name = "odd-deep"
	body, err := json.Marshal(service)
	d.is.NoErr(err)
	revision := put("odd-deep", current.Version, body)
	d.awaitRevision(revision, nil)

	t.Log("a node that starts now reads them too")
	d.is.NoErr(d.RestartBalancer(d.Balancers[1]))
	d.awaitRevision(revision, nil)
	counted := func(node *cluster.Node) bool {
		return strings.Contains(fetchMetrics(node), fmt.Sprintf("burlmill_entries_skipped_total{kind=%q", "object"))
	}
	d.awaitCondition("the malformed objects to be counted", func() bool { return slices.ContainsFunc(d.Nodes(), counted) })
	d.checkFlows(flows.Stop())
	d.checkRequests(requests.Stop())
}
