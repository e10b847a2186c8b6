// This file creates the request for an echo stream and serves echo streams over the upgraded
// connections: the back end returns each byte that it receives, and closes its write side after the
// client has closed its own. It counts the streams and records them in the journal. A stream that
// fails, or is open when the back end closes, is reset.

package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"
)

// pathStream is the path at which a connection is upgraded to an echo stream.
const pathStream = "/lab/stream"

// streamProtocol is the value of the Upgrade header for echo streams.
const streamProtocol = "lab-echo"

// NewStreamRequest returns the request that upgrades a connection to an echo stream. The flow is a
// name from FlowName.
func NewStreamRequest(flow string) *http.Request {
	return &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Path: pathStream, RawQuery: url.Values{"flow": {flow}}.Encode()},
		Host:   "lab",
		Header: http.Header{"Connection": {"Upgrade"}, "Upgrade": {streamProtocol}},
	}
}

func (b *Backend) serveStream(writer http.ResponseWriter, request *http.Request) {
	b.streams.Add(1)
	b.journal.recordFlow(FlowRecord{
		Flow:          request.URL.Query().Get("flow"),
		Service:       b.options.Service,
		Backend:       b.options.ID,
		FirstSeen:     time.Now(),
		WhileDraining: b.draining.Load(),
	})
	connection, buffered, err := writer.(http.Hijacker).Hijack()
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	socket := connection.(*net.TCPConn)
	_ = socket.SetLinger(0) // Close sends a reset, unless the linger option is restored below
	defer socket.Close()
	defer context.AfterFunc(b.ctx, func() { _ = socket.Close() })()
	if err := b.echoStream(socket, buffered.Reader); err != nil {
		return
	}
	_ = socket.SetLinger(-1)
}

func (b *Backend) echoStream(socket *net.TCPConn, reader *bufio.Reader) error {
	response := http.Response{
		StatusCode: http.StatusSwitchingProtocols,
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header: http.Header{
			"Connection":  {"Upgrade"},
			"Upgrade":     {streamProtocol},
			HeaderService: {string(b.options.Service)},
			HeaderBackend: {string(b.options.ID)},
		},
	}
	if err := response.Write(socket); err != nil {
		return err
	}
	if _, err := io.Copy(socket, reader); err != nil {
		return err
	}
	return socket.CloseWrite()
}
