package quicserver

import (
	"crypto/rand"

	"github.com/quic-go/quic-go"

	"github.com/burlmill/burlmill/flow"
)

// connectionIDs generates the connection ids of one back end. They name it, so
// that datagrams find it after the caller's address has changed.
type connectionIDs struct{ serverID uint32 }

var _ quic.ConnectionIDGenerator = connectionIDs{}

// GenerateConnectionID returns a new id.
func (c connectionIDs) GenerateConnectionID() (quic.ConnectionID, error) {
	var nonce [flow.NonceLength]byte
	// Read never fails: it ends the process if the system has no randomness.
	_, _ = rand.Read(nonce[:])
	id := flow.NewConnectionID(c.serverID, nonce)
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen returns the length of all ids in bytes.
func (c connectionIDs) ConnectionIDLen() int { return flow.ConnectionIDLength }
