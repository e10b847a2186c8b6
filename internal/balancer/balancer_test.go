// This file guards against a balancer process that does not become ready, does not forward
// datagrams, or stops forwarding on shutdown while the fabric still sends.

package balancer

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/flow"
	"github.com/burlmill/burlmill/internal/coordination"
	"github.com/burlmill/burlmill/internal/lab/loopback"
	"github.com/burlmill/burlmill/internal/lab/store"
	"github.com/burlmill/burlmill/internal/logging"
	"github.com/burlmill/burlmill/internal/objects"
	"github.com/burlmill/burlmill/internal/settings"
	"github.com/burlmill/burlmill/internal/wire"
	"github.com/burlmill/burlmill/membership"
)

// testTimeout is the timeout of each wait in the tests.
const testTimeout = 20 * time.Second

// TestRun guards against a balancer that does not become ready, does not forward datagrams to the
// agent, or stops forwarding on shutdown while the fabric still sends.
func TestRun(t *testing.T) {
	is := is.New(t)
	storeServer, err := store.Start("127.0.0.1:0")
	is.NoErr(err)
	defer storeServer.Close()
	arrived := make(chan wire.Envelope, 100)
	agent := listenLoopback(t, func(datagram []byte, _ netip.AddrPort, _ wire.Arrival) {
		if envelope, _, err := wire.ParseEnvelope(datagram); err == nil {
			arrived <- envelope
		}
	})
	service := serviceOf("media", catalog.ProtocolUDP, udpAddress, 1, func(int) netip.AddrPort { return agent.LocalAddress() })
	body, err := json.Marshal(service)
	is.NoErr(err)
	client := objects.NewClient(storeServer.URL(), objects.Options{})
	defer client.Close()
	_, err = client.Put(t.Context(), objects.Write{Name: service.Name, Body: body, Command: objects.NewCommandID(), Author: "test"})
	is.NoErr(err)
	node := startAgentNode(t, storeServer.URL(), agent.LocalAddress())

	options := settings.Default()
	options.Platform.URL = storeServer.URL()
	options.Peers.Seeds = []netip.AddrPort{node.ControlAddress()}
	options.Node = settings.Node{
		ID: "balancer-1", Region: "north", Zone: "a",
		DataAddress:    loopback.NewAddrPort(),
		ControlAddress: anyLoopback,
		MetricsAddress: loopback.NewAddrPort(),
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- Run(ctx, options) }()
	awaitOK(t, "http://"+options.Node.MetricsAddress.String()+"/readyz")

	fabric := listenLoopback(t, func([]byte, netip.AddrPort, wire.Arrival) {})
	key := flow.Key{Caller: callerAt(1), Service: udpAddress}
	datagram := datagramOf(t, wire.Envelope{Key: key}, []byte("hello"))
	sendUntil(t, fabric, options.Node.DataAddress, datagram, arrived)
	cancel()
	envelope := sendUntil(t, fabric, options.Node.DataAddress, datagram, arrived)
	is.Equal(envelope.Key, key)
	is.Equal(envelope.Route.ReplyTo, fabric.LocalAddress())
	select {
	case err := <-stopped:
		is.NoErr(err)
	case <-time.After(testTimeout):
		t.Fatal("balancer did not stop before the timeout")
	}
}

// sendUntil sends the datagram repeatedly until one arrives at the agent and returns its envelope.
// It first discards earlier arrivals.
func sendUntil(t *testing.T, from *wire.Socket, to netip.AddrPort, datagram []byte, arrived <-chan wire.Envelope) wire.Envelope {
	t.Helper()
	for len(arrived) > 0 {
		<-arrived
	}
	deadline := time.After(testTimeout)
	for {
		is.New(t).NoErr(from.Send(datagram, to))
		select {
		case envelope := <-arrived:
			return envelope
		case <-time.After(50 * time.Millisecond):
		case <-deadline:
			t.Fatal("agent received no datagram before the timeout")
		}
	}
}

func startAgentNode(t *testing.T, storeURL string, data netip.AddrPort) *coordination.Node {
	t.Helper()
	node, err := coordination.Start(coordination.Options{
		Node:     settings.Node{ID: "agent-1", Region: "north", Zone: "a", DataAddress: data, ControlAddress: anyLoopback},
		Role:     membership.Agent,
		Platform: settings.Platform{URL: storeURL, StoreWatchers: 1},
		Log:      logging.New(io.Discard, "error"),
	})
	is.New(t).NoErr(err)
	t.Cleanup(node.Close)
	return node
}

func listenLoopback(t *testing.T, receive wire.Receiver) *wire.Socket {
	t.Helper()
	socket, err := wire.Listen(anyLoopback, receive)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = socket.Close() })
	return socket
}

// awaitOK polls the URL until the response has status 200.
func awaitOK(t *testing.T, url string) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testTimeout}
	deadline := time.Now().Add(testTimeout)
	for time.Now().Before(deadline) {
		response, err := client.Get(url)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("%s did not return status 200 before the timeout", url)
}
