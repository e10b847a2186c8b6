// Package settings declares, loads and validates the settings of a burlmill process, which come
// from a YAML file and flags at start. With the transport handshake, the file is watched while the
// process runs; Watch returns the changed settings. Configuration that the platform's store
// distributes, such as services, is not part of the settings.
//
// The structs in this file are the single source of all settings. Their tags contain the key in the
// file (koanf), the rule (validate) and the description (help). Flags, validation and
// docs/SETTINGS.md are derived from them. Default contains the default values.
package settings

import (
	"net/netip"
	"time"

	"github.com/burlmill/burlmill/catalog"
)

// Node contains the id and the location of this process, and the addresses of its sockets.
type Node struct {
	ID             string           `koanf:"id" validate:"required,name" help:"Name of this process, unique among all burlmill processes."`
	Region         string           `koanf:"region" validate:"required,name" help:"Region the process runs in."`
	Zone           catalog.ZoneName `koanf:"zone" validate:"required,name" help:"Failure zone the process runs in."`
	DataAddress    netip.AddrPort   `koanf:"data-address" validate:"required,address" help:"UDP socket for callers' datagrams and TCP socket for callers' streams."`
	ControlAddress netip.AddrPort   `koanf:"control-address" validate:"required,address,distinct=data-address" help:"TCP socket for other burlmill processes and operators."`
	PeerAddress    netip.AddrPort   `koanf:"peer-address" validate:"omitempty,address,distinct=data-address,distinct=control-address" help:"UDP and TCP socket for other burlmill processes; on all machines with the same port. For the transport handshake only."`
	ReadyAddress   netip.AddrPort   `koanf:"ready-address" validate:"omitempty,address,distinct=data-address,distinct=control-address,distinct=peer-address" help:"TCP socket at which the platform asks whether this process can serve. For the transport handshake only."`
	MetricsAddress netip.AddrPort   `koanf:"metrics-address" validate:"omitempty,address,distinct=control-address,distinct=data-address" help:"TCP socket for metrics and health; a loopback address unless flows.transport is handshake. Empty: none."`
}

// Platform configures access to the platform's store.
type Platform struct {
	URL           string `koanf:"url" validate:"omitempty,http_url" help:"Base URL of the platform's object API. Empty: this node learns everything from its peers."`
	StoreWatchers int    `koanf:"readers" validate:"min=1,max=16" help:"Nodes of each region that watch the platform's store."`
}

// Peers configures how a node discovers other nodes at start.
type Peers struct {
	Seeds []netip.AddrPort `koanf:"seeds" validate:"unique,dive,address" help:"Control addresses that are tried at start, besides those in the platform's machine list. May be given several times."`
}

// Backend configures the back end beside an agent. It is for the transport handshake only; with the
// transport envelope, back ends are part of the configuration that the store distributes.
type Backend struct {
	Service         catalog.ServiceName `koanf:"service" validate:"omitempty,name" help:"Service of the back end beside this agent. For the transport handshake only."`
	Address         netip.AddrPort      `koanf:"address" validate:"omitempty,address" help:"Where the back end takes datagrams and health checks. For the transport handshake only."`
	OutboundAddress netip.AddrPort      `koanf:"outbound-address" validate:"omitempty,address" help:"UDP socket to which the back end sends all its datagrams. For the transport handshake only."`
	ReportInterval  time.Duration       `koanf:"report-interval" validate:"min=100ms,max=1m" help:"Time between two reports of the back end about itself. For the transport handshake only."`
}

// Flows configures the transport, and the timeouts and limits of flows.
type Flows struct {
	Transport        Transport     `koanf:"transport" validate:"oneof=envelope handshake" help:"How datagrams come: envelope is PROXY protocol version 2 from fabrics; handshake is the platform's own datagrams, whose flows open with a handshake."`
	MaxLifetime      time.Duration `koanf:"lifetime" validate:"min=1s,max=24h" help:"Longest life of a flow. For the transport handshake only."`
	IdleTimeout      time.Duration `koanf:"idle-timeout" validate:"min=1s,max=24h" help:"A flow without a datagram for this long is over."`
	DrainIdleTimeout time.Duration `koanf:"drain-idle-timeout" validate:"min=1s,max=24h" help:"The same once the process is stopping, so that flows that have ended in silence do not hold it up; also how long a connection without requests that its caller does not close is kept while its back end drains."`
	DrainLimit       time.Duration `koanf:"drain-limit" validate:"min=1s,max=24h" help:"A stopping process waits this long for its requests and flows; then it cuts off what is left."`
	ColdOvershoot    float64       `koanf:"cold-overshoot" validate:"min=1,max=100" help:"A back end that is cold after its start gets this many times the rate that the configuration gives for it, in any span of one second. For the transport handshake only."`
	ColdSlack        float64       `koanf:"cold-slack" validate:"min=0,max=10000" help:"The same, flows more in that span. For the transport handshake only."`
	CacheSize        int           `koanf:"cache-size" validate:"min=1024,max=10000000" help:"Entries of the balancer's header cache."`
}

// Transport is the format in which datagrams arrive.
type Transport string

// The transports. The help of Flows.Transport describes them.
const (
	TransportEnvelope  Transport = "envelope"
	TransportHandshake Transport = "handshake"
)

// Log configures which events the process logs.
type Log struct {
	Level string `koanf:"level" validate:"oneof=debug info warn error" help:"Least severe level that is logged."`
}

// Settings contains all settings of a process, one field for each section of the file.
type Settings struct {
	Node     Node     `koanf:"node"`
	Platform Platform `koanf:"platform"`
	Peers    Peers    `koanf:"peers"`
	Backend  Backend  `koanf:"backend"`
	Flows    Flows    `koanf:"flows"`
	Log      Log      `koanf:"log"`
}

// Default returns the settings that apply if neither the file nor a flag sets them. Fields that are
// zero here have no default, except ColdSlack, whose default is 0.
func Default() Settings {
	return Settings{
		Platform: Platform{StoreWatchers: 3},
		Backend:  Backend{ReportInterval: time.Second},
		Flows: Flows{
			Transport:        TransportEnvelope,
			MaxLifetime:      time.Minute,
			IdleTimeout:      2 * time.Minute,
			DrainIdleTimeout: 10 * time.Second,
			DrainLimit:       time.Hour,
			ColdOvershoot:    1,
			CacheSize:        65536,
		},
		Log: Log{Level: "info"},
	}
}
