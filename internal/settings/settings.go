// Package settings owns the static settings of a burlmill process: what is read
// once at start from a YAML file and flags, and never changes while it runs.
// What changes while it runs is configuration and lives in package catalog.
//
// The structs below are the only description of the settings. Their tags give
// the key in the file (koanf), the rule (validate) and the meaning (help); the
// flags, the checks and docs/SETTINGS.md are derived from them, and Default
// holds every default value.
package settings

import (
	"net/netip"
	"time"

	"github.com/burlmill/burlmill/catalog"
)

// Node names this process and its place, and lists its sockets.
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

// Platform says where the platform's service is.
type Platform struct {
	URL     string `koanf:"url" validate:"omitempty,http_url" help:"Base URL of the platform's object API. Empty: this node learns everything from its peers."`
	Readers int    `koanf:"readers" validate:"min=1,max=16" help:"Nodes of each region that watch the platform's store."`
}

// Peers says how a node finds others at start.
type Peers struct {
	Seeds []netip.AddrPort `koanf:"seeds" validate:"unique,dive,address" help:"Control addresses that are tried at start, besides those in the platform's machine list. May be given several times."`
}

// Backend is the back end beside an agent. For the transport handshake only;
// with other transports back ends stand in the configuration.
type Backend struct {
	Service         catalog.ServiceName `koanf:"service" validate:"omitempty,name" help:"Service of the back end beside this agent. For the transport handshake only."`
	Address         netip.AddrPort      `koanf:"address" validate:"omitempty,address" help:"Where the back end takes datagrams and health checks. For the transport handshake only."`
	OutboundAddress netip.AddrPort      `koanf:"outbound-address" validate:"omitempty,address" help:"UDP socket to which the back end sends all its datagrams. For the transport handshake only."`
	ReportInterval  time.Duration       `koanf:"report-interval" validate:"min=100ms,max=1m" help:"Time between two reports of the back end about itself. For the transport handshake only."`
}

// Flows bounds what one process remembers about flows.
type Flows struct {
	Transport        Transport     `koanf:"transport" validate:"oneof=envelope handshake" help:"How datagrams come: envelope is PROXY protocol version 2 from fabrics; handshake is the platform's own datagrams, whose flows open with a handshake."`
	Lifetime         time.Duration `koanf:"lifetime" validate:"min=1s,max=24h" help:"Longest life of a flow. For the transport handshake only."`
	IdleTimeout      time.Duration `koanf:"idle-timeout" validate:"min=1s,max=24h" help:"A flow without a datagram for this long is over."`
	DrainIdleTimeout time.Duration `koanf:"drain-idle-timeout" validate:"min=1s,max=24h" help:"The same once the process is stopping, so that flows that have ended in silence do not hold it up."`
	DrainLimit       time.Duration `koanf:"drain-limit" validate:"min=1s,max=24h" help:"A stopping process waits this long for its requests and flows; then it cuts off what is left."`
	ColdOvershoot    float64       `koanf:"cold-overshoot" validate:"min=1,max=100" help:"A back end that is cold after its start gets this many times the rate that the configuration gives for it, in any span of one second. For the transport handshake only."`
	ColdSlack        float64       `koanf:"cold-slack" validate:"min=0,max=10000" help:"The same, flows more in that span. For the transport handshake only."`
	CacheSize        int           `koanf:"cache-size" validate:"min=1024,max=10000000" help:"Entries of the balancer's header cache."`
}

// Transport says in which form datagrams come.
type Transport string

// The transports.
const (
	TransportEnvelope  Transport = "envelope"
	TransportHandshake Transport = "handshake"
)

// Log says what is logged.
type Log struct {
	Level string `koanf:"level" validate:"oneof=debug info warn error" help:"Least severe level that is logged."`
}

// Settings is everything a process reads at start.
type Settings struct {
	Node     Node     `koanf:"node"`
	Platform Platform `koanf:"platform"`
	Peers    Peers    `koanf:"peers"`
	Backend  Backend  `koanf:"backend"`
	Flows    Flows    `koanf:"flows"`
	Log      Log      `koanf:"log"`
}

// Default returns the settings that hold where neither the file nor a flag says
// otherwise. Fields left empty here have no default.
func Default() Settings {
	return Settings{
		Platform: Platform{Readers: 3},
		Backend:  Backend{ReportInterval: time.Second},
		Flows: Flows{
			Transport:        TransportEnvelope,
			Lifetime:         time.Minute,
			IdleTimeout:      2 * time.Minute,
			DrainIdleTimeout: 10 * time.Second,
			DrainLimit:       time.Hour,
			ColdOvershoot:    1,
			CacheSize:        65536,
		},
		Log: Log{Level: "info"},
	}
}
