// This file sends the load reports of this agent's back ends to the other agents of their services,
// and applies load reports to the load tables of this agent's back ends.

package handover

import (
	"time"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/membership"
	"github.com/burlmill/burlmill/placement"
)

// report applies the reports of this agent's back ends locally and sends those that are due to the
// other agents of their services.
func (s *Service) report() {
	bound := s.node.Load()
	if bound == nil {
		return
	}
	snapshot, members := bound.Snapshot(), bound.Members()
	wanted := map[Destination]struct{}{}
	for service, reports := range s.localReports() {
		for _, report := range reports {
			s.applyReport(service, report)
		}
		destinations := bound.destinations(snapshot.Service(service), members)
		for _, destination := range destinations {
			wanted[destination] = struct{}{}
		}
		for _, push := range s.reporter.Due(reports, destinations) {
			s.workers.Go(func() { s.sendReports(push) })
		}
	}
	s.reporter.Retain(func(destination Destination) bool {
		_, ok := wanted[destination]
		return ok
	})
}

// localReports returns the load reports of this agent's back ends for other agents, by service.
func (s *Service) localReports() map[catalog.ServiceName][]placement.LoadReport {
	reports := map[catalog.ServiceName][]placement.LoadReport{}
	for name, attached := range s.locals {
		reports[name.service] = append(reports[name.service], peerReport(name.backend, attached.gateway.Load()))
	}
	return reports
}

// applyReport stores a report in the load tables of this agent's back ends of the service, except
// in that of the reported back end itself. It returns whether this agent has a back end of the
// service.
func (s *Service) applyReport(service catalog.ServiceName, report placement.LoadReport) bool {
	found := false
	for name, attached := range s.locals {
		if name.service != service {
			continue
		}
		found = true
		if name.backend != report.Backend {
			attached.loadTable.Update(report)
		}
	}
	return found
}

// destinations returns the other reachable agents of the service.
func (b *boundNode) destinations(service *catalog.Service, members []*membership.Member) []Destination {
	if service == nil {
		return nil
	}
	var destinations []Destination
	for _, member := range members {
		if member.Data == b.self || !hasAgent(service, member) {
			continue
		}
		destinations = append(destinations, Destination{
			Service:     service.Name,
			Node:        member.ID,
			Incarnation: member.Incarnation,
			Control:     member.Control,
		})
	}
	return destinations
}

// hasAgent reports whether the member is the agent of a back end of the service.
func hasAgent(service *catalog.Service, member *membership.Member) bool {
	for index := range service.Backends {
		if service.Backends[index].Agent == member.Data {
			return true
		}
	}
	return false
}

// sendReports sends reports and marks them as confirmed on success. Unconfirmed reports are sent
// again with the next ones.
func (s *Service) sendReports(push Push) {
	if s.client.report(s.context, push) != nil {
		return
	}
	s.do(func(time.Time) { s.reporter.Confirm(push) })
}
