package flow

import "github.com/burlmill/burlmill/catalog"

// Which connection of a caller a QUIC datagram belongs to.

// isOfOtherConnection says whether a QUIC datagram of a flow held here belongs to
// a connection that is not: its connection id names another back end, or it
// begins a connection although the back end takes no new work. A caller may open
// connection after connection from one address.
func (d *Decider) isOfOtherConnection(record *flowRecord, payload []byte) bool {
	if record.service.Protocol != catalog.ProtocolHTTP {
		return false
	}
	serverID, named := ServerIDOf(payload)
	switch {
	case named && serverID == record.backend.ServerID():
		return false
	case !isLongHeader(payload):
		return named
	case d.namesBackend(record.service, payload):
		return true
	default:
		return d.leaving || d.isLeaving(record)
	}
}

// namesBackend says whether the connection id names a back end that the service has
// now, so that the caller has not made it up.
func (d *Decider) namesBackend(service *catalog.Service, payload []byte) bool {
	current := d.snapshot.Service(service.Name)
	return current != nil && backendByServerID(current, payload) != NoBackend
}

// isLeaving says whether the flow's back end takes no new work.
func (d *Decider) isLeaving(record *flowRecord) bool {
	service := d.snapshot.Service(record.service.Name)
	if service == nil {
		return true
	}
	index := indexOf(service, identityOf(record.service, record.backend))
	return index == NoBackend || service.Backends[index].State == catalog.BackendLeaving
}
