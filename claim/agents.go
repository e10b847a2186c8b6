package claim

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/flow"
)

// Agent is a place where a replica of a service can run.
type Agent struct {
	Node NodeID
	Zone string // failure zone, unique across sites
	// Active says that the configuration lets it take new work.
	Active bool
	// Alive says that it is believed to run. It decides who is replaced, never
	// whether a vote counts.
	Alive bool
}

// NodeOf returns the node of the agent with that data address.
func NodeOf(agent netip.AddrPort) NodeID { return NodeID(agent.String()) }

// AgentsOf returns the agents of a service in order of node.
func AgentsOf(service *catalog.Service, liveness flow.Liveness) []Agent {
	byNode := map[NodeID]Agent{}
	for index := range service.Backends {
		backend := &service.Backends[index]
		node := NodeOf(backend.Agent)
		agent, known := byNode[node]
		if !known {
			agent = Agent{
				Node:  node,
				Zone:  string(backend.Site) + "/" + string(backend.Zone),
				Alive: liveness.Alive(backend.Agent),
			}
		}
		agent.Active = agent.Active || backend.State == catalog.BackendActive
		byNode[node] = agent
	}
	agents := make([]Agent, 0, len(byNode))
	for _, agent := range byNode {
		agents = append(agents, agent)
	}
	slices.SortFunc(agents, func(a, b Agent) int { return cmp.Compare(a.Node, b.Node) })
	return agents
}

// candidate is an agent that may become a replica.
type candidate struct {
	instance Instance
	zone     string
}

// choose adds candidates to the members kept until there are count of them: by
// rendezvous hash, those in zones that no member is in first.
func choose(service catalog.ServiceName, kept, candidates []candidate, count int) []candidate {
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(rank(service, b), rank(service, a)), a.instance.Compare(b.instance))
	})
	chosen := slices.Clone(kept)
	for _, newZonesOnly := range []bool{true, false} {
		for _, next := range ranked {
			if len(chosen) >= count {
				return chosen
			}
			if newZonesOnly && hasZone(chosen, next.zone) || hasNode(chosen, next.instance.Node) {
				continue
			}
			chosen = append(chosen, next)
		}
	}
	return chosen
}

func rank(service catalog.ServiceName, c candidate) uint64 {
	return xxhash.Sum64String(string(service) + "\x00" + string(c.instance.Node))
}

func hasZone(chosen []candidate, zone string) bool {
	return slices.ContainsFunc(chosen, func(c candidate) bool { return c.zone == zone })
}

func hasNode(chosen []candidate, node NodeID) bool {
	return slices.ContainsFunc(chosen, func(c candidate) bool { return c.instance.Node == node })
}

func instancesOf(chosen []candidate) []Instance {
	instances := make([]Instance, 0, len(chosen))
	for _, c := range chosen {
		instances = append(instances, c.instance)
	}
	return instances
}
