// This file parses and validates the JSON bodies of configuration objects, and marks the back ends
// in evacuated zones as draining. A validation error joins all violated rules, with field and
// value. ValidName checks names, also for other packages.

package catalog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"regexp"
	"slices"

	"github.com/burlmill/burlmill/fault"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// ParseService parses and validates the JSON body of the object with the given name.
// Errors are of kind fault.Invalid. A validation error joins all violated rules, each
// with its field and value.
func ParseService(name ServiceName, body []byte) (Service, error) {
	if len(body) > MaxBodySize {
		return Service{}, fault.InvalidField("body", fmt.Sprintf("%d bytes", len(body)), fmt.Sprintf("must be at most %d bytes", MaxBodySize))
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	var service Service
	if err := decoder.Decode(&service); err != nil {
		return Service{}, fault.Wrap(fault.Invalid, err, "object %q is not a service", name)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return Service{}, fault.New(fault.Invalid, "object %q: trailing data after the service", name)
	}
	if service.Name != name {
		return Service{}, fault.InvalidField("name", service.Name, fmt.Sprintf("must equal the object's name %q", name))
	}
	if err := service.Validate(); err != nil {
		return Service{}, fault.Wrap(fault.Invalid, err, "object %q", name)
	}
	return service, nil
}

// Validate checks the rules that apply to a single service. The error joins all
// violated rules.
func (s *Service) Validate() error {
	var v violations
	v.checkName("name", string(s.Name))
	switch s.Protocol {
	case ProtocolUDP, ProtocolHTTP, ProtocolTCP:
	default:
		v.add("protocol", s.Protocol, "must be udp, http or tcp")
	}
	v.checkAddress("address", s.Address)
	s.validateShares(&v)
	s.validateBackends(&v)
	s.validateEvacuated(&v)
	return errors.Join(v.errs...)
}

func (s *Service) validateShares(v *violations) {
	total := uint32(0)
	seen := map[SiteName]bool{}
	for i, share := range s.Shares {
		field := fmt.Sprintf("shares[%d]", i)
		v.checkName(field+".site", string(share.Site))
		if seen[share.Site] {
			v.add(field+".site", share.Site, "is listed twice")
		}
		seen[share.Site] = true
		if share.Percent > 100 {
			v.add(field+".percent", share.Percent, "must be 0 to 100")
		}
		total += min(share.Percent, 1000) // limited, so that the sum cannot overflow
	}
	if total != 100 {
		v.add("shares", total, "percentages must add up to 100")
	}
}

func (s *Service) validateBackends(v *violations) {
	if len(s.Backends) > MaxBackends {
		v.add("backends", len(s.Backends), fmt.Sprintf("must be at most %d", MaxBackends))
	}
	sites := map[SiteName]bool{}
	for _, share := range s.Shares {
		sites[share.Site] = true
	}
	seen := map[BackendID]bool{}
	serverIDs := map[uint32]BackendID{}
	for i := range s.Backends {
		backend := &s.Backends[i]
		field := fmt.Sprintf("backends[%d]", i)
		backend.validate(field, v)
		if seen[backend.ID] {
			v.add(field+".id", backend.ID, "is listed twice")
		}
		seen[backend.ID] = true
		if other, exists := serverIDs[backend.ServerID()]; exists && other != backend.ID {
			v.add(field+".id", backend.ID, fmt.Sprintf("has the same server id as %q; choose another id", other))
		}
		serverIDs[backend.ServerID()] = backend.ID
		if !sites[backend.Site] {
			v.add(field+".site", backend.Site, "has no entry in shares")
		}
	}
}

func (s *Service) validateEvacuated(v *violations) {
	seen := map[ZoneName]bool{}
	for i, zone := range s.EvacuatedZones {
		field := fmt.Sprintf("evacuated[%d]", i)
		v.checkName(field, string(zone))
		if seen[zone] {
			v.add(field, zone, "is listed twice")
		}
		seen[zone] = true
	}
}

// applyEvacuations marks the back ends in evacuated zones as evacuated and sets their state to
// BackendDraining.
func (s *Service) applyEvacuations() {
	for i := range s.Backends {
		backend := &s.Backends[i]
		if slices.Contains(s.EvacuatedZones, backend.Zone) {
			backend.Evacuated = true
			backend.State = BackendDraining
		}
	}
}

func (b *Backend) validate(field string, v *violations) {
	v.checkName(field+".id", string(b.ID))
	v.checkName(field+".zone", string(b.Zone))
	v.checkAddress(field+".agent", b.Agent)
	v.checkAddress(field+".address", b.Address)
	if b.Weight < 1 || b.Weight > MaxWeight {
		v.add(field+".weight", b.Weight, fmt.Sprintf("must be 1 to %d", MaxWeight))
	}
	if b.Slots < 1 {
		v.add(field+".slots", b.Slots, "must be at least 1")
	}
	if b.Connections < 1 {
		v.add(field+".connections", b.Connections, "must be at least 1")
	}
	if b.State != BackendActive && b.State != BackendDraining {
		v.add(field+".state", b.State, "must be active or leaving")
	}
}

// violations collects the errors found while a value is validated.
type violations struct{ errs []error }

func (v *violations) add(field string, value any, rule string) {
	v.errs = append(v.errs, fault.InvalidField(field, value, rule))
}

// ValidName reports whether the text is a valid name: 1 to MaxNameLength lower-case letters,
// digits, dots or hyphens, starting and ending with a letter or digit.
func ValidName(text string) bool {
	return len(text) <= MaxNameLength && namePattern.MatchString(text)
}

func (v *violations) checkName(field, name string) {
	if !ValidName(name) {
		v.add(field, name, fmt.Sprintf("must be 1 to %d lower-case letters, digits, dots or hyphens", MaxNameLength))
	}
}

func (v *violations) checkAddress(field string, address netip.AddrPort) {
	if !address.IsValid() || address.Port() == 0 || address.Addr().IsUnspecified() {
		v.add(field, address, "must be an IP address and a port above 0")
	}
}
