// This file generates the QUIC connection IDs of a server. They identify its back end, so that
// datagrams are still routed there after the caller's address changes, and contain the server's
// generation, which distinguishes servers of one back end that run at the same time. GenerationOf
// returns the generation for a received datagram.

package quicserver

import (
	"crypto/rand"

	"github.com/quic-go/quic-go"

	"github.com/burlmill/burlmill/flow"
)

// generationOffset is the byte offset of the server's generation in the nonce of a
// connection ID.
const generationOffset = 0

// GenerationOf returns the generation of the server that issued the datagram's connection ID. ok is
// false if the ID does not encode serverID, the ID of the back end; this includes the first
// datagrams of a connection, whose ID the caller has generated.
func GenerationOf(payload []byte, serverID uint32) (generation uint8, ok bool) {
	nonce := flow.NonceOf(payload, serverID)
	if nonce == nil {
		return 0, false
	}
	return nonce[generationOffset], true
}

// connectionIDs generates the connection IDs of one server.
type connectionIDs struct {
	serverID   uint32 // of the back end; shared by all of its servers
	generation uint8  // of the server
}

var _ quic.ConnectionIDGenerator = connectionIDs{}

// GenerateConnectionID returns a connection ID with the server ID, the generation and random bytes.
func (c connectionIDs) GenerateConnectionID() (quic.ConnectionID, error) {
	var nonce [flow.NonceLength]byte
	// Read never returns an error: it crashes the process if no random bytes are available.
	_, _ = rand.Read(nonce[:])
	nonce[generationOffset] = c.generation
	id := flow.NewConnectionID(c.serverID, nonce)
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen returns the length in bytes of all generated IDs.
func (c connectionIDs) ConnectionIDLen() int { return flow.ConnectionIDLength }
