// This file generates QUIC connection ids that encode the server id of a back end, parses the
// server id and the nonce in the connection id of a datagram, and finds the back end that the
// connection id encodes.

package flow

import (
	"encoding/binary"

	"github.com/burlmill/burlmill/catalog"
)

// ServerIDLength is the length of a server id in a connection id, in bytes.
const ServerIDLength = 4

// NonceLength is the length of the nonce, the random part of a connection id, in bytes.
const NonceLength = 7

// ConnectionIDLength is the length of the QUIC connection ids that agents generate, in bytes: a
// format byte, the server id and the nonce.
const ConnectionIDLength = 1 + ServerIDLength + NonceLength

// connectionIDFormat is the first byte of a connection id. It follows the plain-text mode of
// QUIC-LB: three bits of configuration rotation, always 0, and five bits with the length of the
// rest of the id.
const connectionIDFormat = ConnectionIDLength - 1

// NewConnectionID returns a QUIC connection id that encodes the server id of a back end.
func NewConnectionID(serverID uint32, nonce [NonceLength]byte) [ConnectionIDLength]byte {
	var id [ConnectionIDLength]byte
	id[0] = connectionIDFormat
	binary.BigEndian.PutUint32(id[1:], serverID)
	copy(id[1+ServerIDLength:], nonce[:])
	return id
}

// Version-independent layout of QUIC datagrams (RFC 8999, section 5).
const (
	longHeaderBit      = 0x80 // set in the first byte of a long header
	longIDLengthOffset = 5    // length of the destination connection id in a long header
	longIDOffset       = 6    // destination connection id in a long header
	shortIDOffset      = 1    // destination connection id in a short header

	// minLongHeaderPayload is the minimum length, in bytes, of a datagram with a long header and an
	// id of ConnectionIDLength.
	minLongHeaderPayload = longIDOffset + ConnectionIDLength
)

// ServerIDOf returns the server id in the destination connection id of a QUIC datagram. ok is false
// if the connection id does not have the format of NewConnectionID.
//
// Callers choose a random connection id for the first datagrams of a connection, which have long
// headers. Such an id can have this format by chance. A server id from a long header is therefore
// valid only if a back end of the service has it.
func ServerIDOf(payload []byte) (serverID uint32, ok bool) {
	id := connectionIDOf(payload)
	if id == nil {
		return 0, false
	}
	return binary.BigEndian.Uint32(id[1:]), true
}

// NonceOf returns the nonce of the datagram's connection id, nil if the connection id does not
// encode the given server id. The result aliases the payload.
func NonceOf(payload []byte, serverID uint32) []byte {
	id := connectionIDOf(payload)
	if id == nil || binary.BigEndian.Uint32(id[1:]) != serverID {
		return nil
	}
	return id[1+ServerIDLength : ConnectionIDLength]
}

// connectionIDOf returns the destination connection id, nil if it does not have the format of
// NewConnectionID. The result aliases the payload.
func connectionIDOf(payload []byte) []byte {
	offset := shortIDOffset
	if isLongHeader(payload) {
		if len(payload) < minLongHeaderPayload || payload[longIDLengthOffset] != ConnectionIDLength {
			return nil
		}
		offset = longIDOffset
	}
	if len(payload) < offset+ConnectionIDLength || payload[offset] != connectionIDFormat {
		return nil
	}
	return payload[offset : offset+ConnectionIDLength]
}

// isLongHeader reports whether a QUIC datagram has a long header, as handshake packets do.
func isLongHeader(payload []byte) bool {
	return len(payload) > 0 && payload[0]&longHeaderBit != 0
}

// backendByServerID returns the index of the back end whose server id the datagram's connection id
// encodes, NoBackend if there is none or the service does not use QUIC.
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
