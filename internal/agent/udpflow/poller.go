package udpflow

import (
	"fmt"
	"net/netip"
	"sync"

	"github.com/lesismal/nbio"

	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/internal/agent/returnpath"
	"github.com/burlmill/burlmill/internal/polling"
	"github.com/burlmill/burlmill/internal/wire"
)

// poller opens the sockets of flows to their back ends, reads the replies from all of them in one
// goroutine, and sends the replies to the callers.
type poller struct {
	engine   *nbio.Engine
	sender   returnpath.Sender
	observer Observer
	stopOnce sync.Once

	// reply is the datagram being built. Payloads are read into the part after the
	// headroom, so that the flow's header is prepended without copying the payload.
	reply   [headroom + wire.MaxDatagramBytes]byte
	payload []byte // the part of reply after the headroom
}

// headroom is the space in bytes that is reserved for the header.
const headroom = wire.MaxHeaderBytes

func startPoller(sender returnpath.Sender, observer Observer) (*poller, error) {
	created := &poller{sender: sender, observer: observer}
	created.payload = created.reply[headroom:]
	// The reply buffer is not shared, so there must be one poller goroutine.
	created.engine = nbio.NewEngine(nbio.Config{Name: "udpflow", NPoller: 1})
	created.engine.OnReadBufferAlloc(func(*nbio.Conn) *[]byte { return &created.payload })
	created.engine.OnData(created.sendReply)
	if err := polling.Start(created.engine); err != nil {
		return nil, fmt.Errorf("start poller of UDP flows: %w", err)
	}
	return created, nil
}

// dial opens the flow's socket to the back end and polls it for replies. Errors are
// of kind fault.Unavailable.
func (p *poller) dial(backend netip.AddrPort, owner *udpFlow) (*nbio.Conn, error) {
	// Engine.DialAsync misreads 16-byte IP addresses, so the socket is dialed here.
	socket, err := nbio.Dial("udp", backend.String())
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "open socket to back end %s", backend)
	}
	socket.SetSession(owner)
	if _, err := p.engine.AddConn(socket); err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "poll socket to back end %s", backend)
	}
	return socket, nil
}

// sendReply is called by nbio with a datagram in p.payload and sends it to the
// flow's caller.
func (p *poller) sendReply(socket *nbio.Conn, payload []byte) {
	owner, ok := socket.Session().(*udpFlow)
	if !ok {
		return
	}
	header := owner.path.Header()
	start := headroom - len(header)
	copy(p.reply[start:], header)
	datagram := p.reply[start : headroom+len(payload)]
	if err := p.sender.Send(datagram, owner.path.ReturnAddress()); err != nil {
		p.observer.ReplyFailed(err)
		return
	}
	p.observer.ReplySent()
}

// stop stops the poller. It may be called more than once, unlike nbio's Engine.Stop.
func (p *poller) stop() { p.stopOnce.Do(p.engine.Stop) }
