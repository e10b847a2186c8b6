// Package routing holds which service takes the new flows of each address that
// callers see. A Table is an immutable, validated snapshot of one version of
// the configuration; a newer one replaces it whole. Hosts are not part of it:
// they announce themselves (package instance).
package routing

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
)

// Bounds of a valid table.
const (
	MaximumRoutes  = 100_000
	MaximumTargets = 64      // services of one route
	MaximumWeight  = 1 << 20 // of one target
	// MaximumColdRate is above what any host takes; agents remember so many flows at most.
	MaximumColdRate = 1 << 16 // flows a second
	// MaximumTimeout is longer than any flow lasts (settings, flows.lifetime).
	MaximumTimeout = 24 * time.Hour
	maximumRemarks = 16 // that a table keeps: enough to see what is wrong (a guess)
)

// Version orders configurations. A process never goes back to a lower one.
type Version uint64

// Target is one service of a route with its weight among the route's services.
type Target struct {
	Service catalog.ServiceName
	Weight  int // 0: takes no new flows
}

// Route says where the new flows of one address go.
type Route struct {
	Name    string
	Address netip.AddrPort // the address that callers see
	Targets []Target       // at least one with a weight above 0
	// Priority of the route's requests: where not all can be served, those of a lower number
	// go first; 0 is the highest.
	Priority uint
	// Aim is the time within which a caller wants its answer, from its first datagram on; 0: not told.
	Aim time.Duration
	// Timeout is when a caller gives up, from its first datagram on; 0: not told.
	Timeout time.Duration
	// Requests says what may be done to the route's requests.
	Requests RequestKind
}

// RequestKind says whether a request may run more than once, and how long its answer is.
type RequestKind uint8

// The kinds of requests.
const (
	RequestsUnknown RequestKind = iota // not told: taken for OnceOnly
	Repeatable                         // running one twice does no harm: it may be tried elsewhere
	OnceOnly                           // one may run at most once
	LongAnswer                         // repeatable, with a long answer that takes a while to carry
)

// String returns the kind's name in logs and tables.
func (k RequestKind) String() string {
	switch k {
	case Repeatable:
		return "repeatable"
	case OnceOnly:
		return "once-only"
	case LongAnswer:
		return "long-answer"
	default:
		return "unknown"
	}
}

// MayRepeat says whether a request may be tried elsewhere though it may have run.
func (k RequestKind) MayRepeat() bool { return k == Repeatable || k == LongAnswer }

// Has says whether the service takes new flows of the route.
func (r *Route) Has(service catalog.ServiceName) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service && t.Weight > 0 })
}

// Service is what the configuration says about one service.
type Service struct {
	Name         catalog.ServiceName
	HealthPath   string // HTTP path at which a host answers 200 while it is well
	MaximumFlows int    // flows that one host holds; 0: not told
	// ColdRate is how many new flows a second a host bears that is cold after its start; 0: it is
	// not bounded. How long a host is cold it says itself.
	ColdRate float64
}

// Table is one version of the configuration. It never changes.
type Table struct {
	version     Version
	idleTimeout time.Duration
	routes      map[netip.AddrPort]*Route
	services    map[catalog.ServiceName]Service
	remarks     []error
}

// Content is what a Table is made of.
type Content struct {
	Version     Version
	IdleTimeout time.Duration // a flow without a datagram for this long may be forgotten; 0: not told
	Routes      []Route
	Services    []Service
	Remarks     []error // what was passed over in the document, of kind fault.Invalid
}

// New checks the content and returns its table. Errors are of kind
// fault.Invalid and name the field and its value.
func New(content Content) (*Table, error) {
	if content.Version == 0 {
		return nil, fault.InvalidField("version", content.Version, "must be above 0")
	}
	if len(content.Routes) > MaximumRoutes {
		return nil, fault.InvalidField("routes", len(content.Routes), fmt.Sprintf("must be at most %d", MaximumRoutes))
	}
	table := &Table{
		version:     content.Version,
		idleTimeout: content.IdleTimeout,
		routes:      make(map[netip.AddrPort]*Route, len(content.Routes)),
		services:    make(map[catalog.ServiceName]Service, len(content.Services)),
		remarks:     content.Remarks[:min(len(content.Remarks), maximumRemarks)],
	}
	for _, service := range content.Services {
		if !(service.ColdRate >= 0 && service.ColdRate <= MaximumColdRate) {
			return nil, fault.InvalidField("service "+string(service.Name)+" cold rate", service.ColdRate, fmt.Sprintf("must be 0 to %d flows a second", MaximumColdRate))
		}
		table.services[service.Name] = service
	}
	for i := range content.Routes {
		if err := table.add(&content.Routes[i]); err != nil {
			return nil, err
		}
	}
	return table, nil
}

// add checks a route and takes it in.
func (t *Table) add(route *Route) error {
	if !route.Address.IsValid() {
		return fault.InvalidField("route "+route.Name+" address", route.Address, "must be an IP address and a port")
	}
	if _, taken := t.routes[route.Address]; taken {
		return fault.InvalidField("route "+route.Name+" address", route.Address, "must not be the address of two routes")
	}
	if len(route.Targets) > MaximumTargets {
		return fault.InvalidField("route "+route.Name+" targets", len(route.Targets), fmt.Sprintf("must be at most %d", MaximumTargets))
	}
	if route.Timeout < 0 || route.Timeout > MaximumTimeout {
		return fault.InvalidField("route "+route.Name+" time-out", route.Timeout, fmt.Sprintf("must be 0 to %v", MaximumTimeout))
	}
	total := 0
	for _, target := range route.Targets {
		if target.Weight < 0 || target.Weight > MaximumWeight {
			return fault.InvalidField("route "+route.Name+" weight", target.Weight, fmt.Sprintf("must be 0 to %d", MaximumWeight))
		}
		if target.Service == "" {
			return fault.InvalidField("route "+route.Name+" service", target.Service, "must be given")
		}
		total += target.Weight
	}
	if total == 0 {
		return fault.InvalidField("route "+route.Name+" weights", total, "must add up to more than 0")
	}
	t.routes[route.Address] = route
	return nil
}

// Version returns the table's version; a nil table has version 0.
func (t *Table) Version() Version {
	if t == nil {
		return 0
	}
	return t.version
}

// Remarks returns the first of what was passed over in the document, for the log.
func (t *Table) Remarks() []error { return t.remarks }

// IdleTimeout returns how long a flow may rest before it may be forgotten, 0 if
// the configuration does not say.
func (t *Table) IdleTimeout() time.Duration {
	if t == nil {
		return 0
	}
	return t.idleTimeout
}

// Route returns the route of an address that callers see, nil if there is none.
func (t *Table) Route(address netip.AddrPort) *Route {
	if t == nil {
		return nil
	}
	return t.routes[address]
}

// Routes returns all routes in order of address.
func (t *Table) Routes() []*Route {
	if t == nil {
		return nil
	}
	routes := slices.Collect(maps.Values(t.routes))
	slices.SortFunc(routes, func(a, b *Route) int { return a.Address.Compare(b.Address) })
	return routes
}

// Service returns what the configuration says about a service.
func (t *Table) Service(name catalog.ServiceName) (service Service, known bool) {
	if t == nil {
		return Service{}, false
	}
	service, known = t.services[name]
	return service, known
}

// Names says whether the configuration names the service, be it only as the target of a route.
func (t *Table) Names(name catalog.ServiceName) bool {
	if t == nil {
		return false
	}
	if _, known := t.services[name]; known {
		return true
	}
	for _, route := range t.routes {
		if slices.ContainsFunc(route.Targets, func(target Target) bool { return target.Service == name }) {
			return true
		}
	}
	return false
}

// Len returns the number of routes.
func (t *Table) Len() int {
	if t == nil {
		return 0
	}
	return len(t.routes)
}
