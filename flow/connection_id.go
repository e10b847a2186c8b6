package flow

import (
	"encoding/binary"

	"github.com/burlmill/burlmill/catalog"
)

// ServerIDLength is the length in bytes of the server id in a connection id.
const ServerIDLength = 4

// NonceLength is the length in bytes of the random part of a connection id.
const NonceLength = 7

// ConnectionIDLength is the length in bytes of the QUIC connection ids that
// agents generate: one octet of format, the server id, the nonce.
const ConnectionIDLength = 1 + ServerIDLength + NonceLength

// connectionIDFormat is the first octet of a connection id. Its layout is that
// of QUIC-LB's plain-text mode: three bits of configuration rotation, which are
// 0, and five bits with the length of what follows.
const connectionIDFormat = ConnectionIDLength - 1

// NewConnectionID returns a QUIC connection id that names the back end with the
// server id.
func NewConnectionID(serverID uint32, nonce [NonceLength]byte) [ConnectionIDLength]byte {
	var id [ConnectionIDLength]byte
	id[0] = connectionIDFormat
	binary.BigEndian.PutUint32(id[1:], serverID)
	copy(id[1+ServerIDLength:], nonce[:])
	return id
}

// Places in a QUIC datagram that hold in every version (RFC 8999, section 5).
const (
	longHeaderBit       = 0x80 // in the first byte
	longIDLengthOffset  = 5    // of the length of the destination connection id
	longIDOffset        = 6    // of the destination connection id
	shortIDOffset       = 1    // of the destination connection id
	shortestLongPayload = longIDOffset + ConnectionIDLength
)

// ServerIDOf returns the server id in the destination connection id of a QUIC
// datagram. It is not ok if the id has not the form of NewConnectionID's. The first
// datagrams of a connection carry an id that the caller made up, and one in some
// thousand of those has that form: in a datagram with a long header only a server id
// that some back end has says that the id is not made up.
func ServerIDOf(payload []byte) (serverID uint32, ok bool) {
	id := connectionIDOf(payload)
	if id == nil {
		return 0, false
	}
	return binary.BigEndian.Uint32(id[1:]), true
}

// NonceOf returns the nonce of a connection id that names the back end with the
// server id, nil if the datagram's does not. It lies in the payload.
func NonceOf(payload []byte, serverID uint32) []byte {
	id := connectionIDOf(payload)
	if id == nil || binary.BigEndian.Uint32(id[1:]) != serverID {
		return nil
	}
	return id[1+ServerIDLength : ConnectionIDLength]
}

// connectionIDOf returns the destination connection id, nil if it has not the form
// of NewConnectionID's.
func connectionIDOf(payload []byte) []byte {
	offset := shortIDOffset
	if isLongHeader(payload) {
		if len(payload) < shortestLongPayload || payload[longIDLengthOffset] != ConnectionIDLength {
			return nil
		}
		offset = longIDOffset
	}
	if len(payload) < offset+ConnectionIDLength || payload[offset] != connectionIDFormat {
		return nil
	}
	return payload[offset : offset+ConnectionIDLength]
}

// isLongHeader says whether a QUIC datagram belongs to a handshake.
func isLongHeader(payload []byte) bool {
	return len(payload) > 0 && payload[0]&longHeaderBit != 0
}

// backendByServerID returns the index of the back end that a datagram's
// connection id names, NoBackend if it names none of the service.
func backendByServerID(service *catalog.Service, payload []byte) int {
	if service.Protocol != catalog.ProtocolHTTP {
		return NoBackend
	}
	serverID, ok := ServerIDOf(payload)
	if !ok {
		return NoBackend
	}
	for index := range service.Backends {
		if service.Backends[index].ServerID() == serverID {
			return index
		}
	}
	return NoBackend
}
