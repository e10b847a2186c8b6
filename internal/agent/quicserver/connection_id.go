package quicserver

import (
	"crypto/rand"

	"github.com/quic-go/quic-go"

	"github.com/burlmill/burlmill/flow"
)

// generationOffset is the place of a server's generation in the nonce of its ids.
const generationOffset = 0

// GenerationOf returns the generation of the server that made the connection id
// of a datagram, if it is one of the back end with the server id. It is not ok for
// a datagram that begins a connection.
func GenerationOf(payload []byte, serverID uint32) (generation uint8, ok bool) {
	nonce := flow.NonceOf(payload, serverID)
	if nonce == nil {
		return 0, false
	}
	return nonce[generationOffset], true
}

// connectionIDs generates the connection ids of one back end. They name it, so
// that datagrams find it after the caller's address has changed.
type connectionIDs struct {
	serverID   uint32
	generation uint8
}

var _ quic.ConnectionIDGenerator = connectionIDs{}

// GenerateConnectionID returns a new id.
func (c connectionIDs) GenerateConnectionID() (quic.ConnectionID, error) {
	var nonce [flow.NonceLength]byte
	// Read never fails: it ends the process if the system has no randomness.
	_, _ = rand.Read(nonce[:])
	nonce[generationOffset] = c.generation
	id := flow.NewConnectionID(c.serverID, nonce)
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen returns the length of all ids in bytes.
func (c connectionIDs) ConnectionIDLen() int { return flow.ConnectionIDLength }
