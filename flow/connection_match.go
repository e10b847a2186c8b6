package flow

import "github.com/burlmill/burlmill/catalog"

// belongsToOtherConnection reports whether a QUIC datagram may belong to a connection other than
// that of the open flow with the same key, as a caller may open several connections from the same
// address. This is so if its connection id encodes the server id of another back end, or if it may
// start a connection while the agent is shutting down or the flow's back end is draining.
func (d *Decider) belongsToOtherConnection(record *flowRecord, payload []byte) bool {
	if record.service.Protocol != catalog.ProtocolHTTP {
		return false
	}
	serverID, hasServerID := ServerIDOf(payload)
	switch {
	case hasServerID && serverID == record.backend.ServerID():
		return false
	case !isLongHeader(payload):
		return hasServerID
	case d.namesBackend(record.service, payload):
		return true
	default:
		return d.shuttingDown || d.isDraining(record)
	}
}

// namesBackend reports whether the connection id encodes the server id of a current back end of the
// service. In a long header, any other connection id is taken for one that the caller generated.
func (d *Decider) namesBackend(service *catalog.Service, payload []byte) bool {
	current := d.snapshot.Service(service.Name)
	return current != nil && backendByServerID(current, payload) != NoBackend
}

// isDraining reports whether the flow's back end is draining or has been removed.
func (d *Decider) isDraining(record *flowRecord) bool {
	service := d.snapshot.Service(record.service.Name)
	if service == nil {
		return true
	}
	index := indexOf(service, identityOf(record.service, record.backend))
	return index == NoBackend || service.Backends[index].State == catalog.BackendDraining
}
