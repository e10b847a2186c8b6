package store

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// gate lets a test hold a goroutine.
type gate struct{ reached, opened chan struct{} }

func newGate() gate { return gate{make(chan struct{}), make(chan struct{})} }

func (g gate) pass() {
	close(g.reached)
	<-g.opened
}

// TestClosedConnectionDoesNotCloseNewOne guards against a request that fails with EOF, because its
// connection has got the descriptor of one that the server has closed, and the poller takes an event
// of that one for an event of the new one. The test holds the poller between receiving the event and
// handling it.
func TestClosedConnectionDoesNotCloseNewOne(t *testing.T) {
	is := is.New(t)
	handlerGate, firstGate, secondGate := newGate(), newGate(), newGate()
	handler := http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/closing" {
			handlerGate.pass()
		}
	})
	server, err := startServerWithHook("127.0.0.1:0", handler, func(data []byte) {
		switch {
		case bytes.Contains(data, []byte("/first")):
			firstGate.pass()
		case bytes.Contains(data, []byte("/second")):
			secondGate.pass()
		}
	})
	is.NoErr(err)
	defer server.close()
	dial := func() *net.TCPConn {
		connection, err := net.Dial("tcp", server.address)
		is.NoErr(err)
		t.Cleanup(func() { _ = connection.Close() })
		is.NoErr(connection.SetDeadline(time.Now().Add(longTimeout)))
		return connection.(*net.TCPConn)
	}
	send := func(connection net.Conn, path, headers string) {
		_, err := fmt.Fprintf(connection, "GET %s HTTP/1.1\r\nHost: store\r\n%s\r\n", path, headers)
		is.NoErr(err)
	}

	reserved, err := os.Open(os.DevNull) // its descriptor is for the client's side of newest
	is.NoErr(err)
	first, second, closing := dial(), dial(), dial()
	send(closing, "/closing", "Connection: close\r\n")
	<-handlerGate.reached
	// The poller is held until the data of second and the end of closing are in the same batch.
	send(first, "/first", "")
	<-firstGate.reached
	send(second, "/second", "")
	is.NoErr(closing.CloseWrite())
	close(firstGate.opened)
	<-secondGate.reached
	close(handlerGate.opened)
	response, err := http.ReadResponse(bufio.NewReader(closing), nil)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	// A server that closes the connection itself does so now.
	is.NoErr(closing.SetReadDeadline(time.Now().Add(100 * time.Millisecond)))
	_, _ = io.ReadAll(closing)

	opened := server.opened.Load()
	is.NoErr(reserved.Close())
	newest := dial()
	for deadline := time.Now().Add(longTimeout); server.opened.Load() == opened; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(deadline))
	}
	close(secondGate.opened)
	send(newest, "/newest", "")
	response, err = http.ReadResponse(bufio.NewReader(newest), nil)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
}
