// This file defines the table and its routes, request kinds, services, idle timeout and warnings,
// and looks up routes and services in it. New validates the content and rejects values that are
// invalid or above a limit, but drops warnings above maxWarnings. Request kinds determine whether a
// request may be retried.

// Package routing maps the addresses of routes to the services that receive their new flows. A
// Table is an immutable, validated snapshot of one version of the configuration; a newer one
// replaces it as a whole. Back ends are not part of it: they report to their agents (package
// instance).
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

// Bounds of the content of a table.
const (
	MaxRoutes  = 100_000
	MaxTargets = 64      // of one route
	MaxWeight  = 1 << 20 // of one target
	// MaxColdFlowRate bounds Service.ColdFlowRate, since agents of cold back ends store the time of
	// each new flow of the last second.
	MaxColdFlowRate = 1 << 16 // flows a second
	// MaxTimeout bounds Route.Timeout. It is the highest valid lifetime of a flow (setting
	// flows.lifetime).
	MaxTimeout  = 24 * time.Hour
	maxWarnings = 16 // warnings that a table keeps
)

// Version is the version of a configuration. A process never goes back to a lower one.
type Version uint64

// Target is a service of a route and its share of the route's new flows.
type Target struct {
	Service catalog.ServiceName
	Weight  int // relative to the other targets; 0: receives no new flows
}

// Route maps an address to the services that receive its new flows.
type Route struct {
	Name    string
	Address netip.AddrPort // destination address of the flows
	Targets []Target       // at least one with a weight above 0
	// Priority of the route's requests under overload. Lower numbers are served first; 0 is the
	// highest priority.
	Priority uint
	// LatencyTarget is the target for the time from a caller's first datagram to the response;
	// 0: not set.
	LatencyTarget time.Duration
	// Timeout is the time from a caller's first datagram after which the caller abandons the
	// request; 0: not set.
	Timeout     time.Duration
	RequestKind RequestKind
}

// RequestKind classifies requests by whether they may be retried and by the length of the
// response.
type RequestKind uint8

// Kinds of requests.
const (
	RequestKindUnknown RequestKind = iota // not set: handled like NonIdempotent
	Idempotent                            // may be retried at another back end
	NonIdempotent                         // must run at most once
	LongResponse                          // idempotent, with a response that takes long to transfer
)

// String returns the name used in logs and tables.
func (k RequestKind) String() string {
	switch k {
	case Idempotent:
		return "repeatable"
	case NonIdempotent:
		return "once-only"
	case LongResponse:
		return "long-answer"
	default:
		return "unknown"
	}
}

// MayRetry reports whether a request that may have run can be retried at another back end.
func (k RequestKind) MayRetry() bool { return k == Idempotent || k == LongResponse }

// Contains reports whether the service is a target with a weight above 0, so that it receives new
// flows of the route.
func (r *Route) Contains(service catalog.ServiceName) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service && t.Weight > 0 })
}

// Service is the configuration of one service.
type Service struct {
	Name       catalog.ServiceName
	HealthPath string // HTTP path at which a healthy back end responds with status 200
	MaxFlows   int    // maximum concurrent flows of a back end; 0: not set
	// ColdFlowRate is the maximum rate of new flows to a back end that is warming up after its
	// start, in flows per second; 0: no limit. Back ends report their remaining warm-up time.
	ColdFlowRate float64
}

// Table is one version of the configuration. It is immutable. A nil table is empty.
type Table struct {
	version     Version
	idleTimeout time.Duration
	routes      map[netip.AddrPort]*Route
	services    map[catalog.ServiceName]Service
	warnings    []error
}

// Content is the input of New.
type Content struct {
	Version     Version
	IdleTimeout time.Duration // time without a datagram after which a flow may be removed; 0: not set
	Routes      []Route
	Services    []Service
	Warnings    []error // unknown values that were replaced by defaults, of kind fault.Invalid
}

// New validates the content and returns its table. Errors are of kind fault.Invalid and name the
// field and its value.
func New(content Content) (*Table, error) {
	if content.Version == 0 {
		return nil, fault.InvalidField("version", content.Version, "must be above 0")
	}
	if len(content.Routes) > MaxRoutes {
		return nil, fault.InvalidField("routes", len(content.Routes), fmt.Sprintf("must be at most %d", MaxRoutes))
	}
	table := &Table{
		version:     content.Version,
		idleTimeout: content.IdleTimeout,
		routes:      make(map[netip.AddrPort]*Route, len(content.Routes)),
		services:    make(map[catalog.ServiceName]Service, len(content.Services)),
		warnings:    content.Warnings[:min(len(content.Warnings), maxWarnings)],
	}
	for _, service := range content.Services {
		if !(service.ColdFlowRate >= 0 && service.ColdFlowRate <= MaxColdFlowRate) {
			return nil, fault.InvalidField("service "+string(service.Name)+" cold rate", service.ColdFlowRate, fmt.Sprintf("must be 0 to %d flows a second", MaxColdFlowRate))
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

// add validates a route and adds it to the table.
func (t *Table) add(route *Route) error {
	if !route.Address.IsValid() {
		return fault.InvalidField("route "+route.Name+" address", route.Address, "must be an IP address and a port")
	}
	if _, taken := t.routes[route.Address]; taken {
		return fault.InvalidField("route "+route.Name+" address", route.Address, "must not be the address of two routes")
	}
	if len(route.Targets) > MaxTargets {
		return fault.InvalidField("route "+route.Name+" targets", len(route.Targets), fmt.Sprintf("must be at most %d", MaxTargets))
	}
	if route.Timeout < 0 || route.Timeout > MaxTimeout {
		return fault.InvalidField("route "+route.Name+" time-out", route.Timeout, fmt.Sprintf("must be 0 to %v", MaxTimeout))
	}
	total := 0
	for _, target := range route.Targets {
		if target.Weight < 0 || target.Weight > MaxWeight {
			return fault.InvalidField("route "+route.Name+" weight", target.Weight, fmt.Sprintf("must be 0 to %d", MaxWeight))
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

// Warnings returns the warnings of the content, up to a limit. The table must not be nil.
func (t *Table) Warnings() []error { return t.warnings }

// IdleTimeout returns the time without a datagram after which a flow may be removed, 0 if the
// configuration does not set it.
func (t *Table) IdleTimeout() time.Duration {
	if t == nil {
		return 0
	}
	return t.idleTimeout
}

// Route returns the route with the destination address, nil if there is none.
func (t *Table) Route(address netip.AddrPort) *Route {
	if t == nil {
		return nil
	}
	return t.routes[address]
}

// Routes returns all routes, sorted by address.
func (t *Table) Routes() []*Route {
	if t == nil {
		return nil
	}
	routes := slices.Collect(maps.Values(t.routes))
	slices.SortFunc(routes, func(a, b *Route) int { return a.Address.Compare(b.Address) })
	return routes
}

// Service returns the configuration of a service. known is false if there is none.
func (t *Table) Service(name catalog.ServiceName) (service Service, known bool) {
	if t == nil {
		return Service{}, false
	}
	service, known = t.services[name]
	return service, known
}

// HasService reports whether the configuration contains the service, or a route that has it as a
// target.
func (t *Table) HasService(name catalog.ServiceName) bool {
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
