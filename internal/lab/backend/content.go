// This file defines the HTTP headers, digests and body contents with which callers and tests check
// that a response belongs to its request and comes from the right service.

package backend

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"math/rand/v2"

	"github.com/burlmill/burlmill/catalog"
)

// HTTP headers that identify requests and responses.
const (
	HeaderRequestID      = "Lab-Request-Id"  // in a request: its id; see DownloadContent and DigestOf
	HeaderDigest         = "Lab-Digest"      // in a response: DigestOf of the request id and body
	HeaderService        = "Lab-Service"     // of the response; in a request: the intended one
	HeaderBackend        = "Lab-Backend"     // in a response: id of the back end that sent it
	HeaderIdempotencyKey = "Idempotency-Key" // in a request: as in the IETF draft of this header
)

// DownloadContent returns the endless pseudorandom body of a download. It is seeded with the
// service and the request id, so that a response to another request, or from another service, is
// recognized by its first bytes.
func DownloadContent(service catalog.ServiceName, requestID string) io.Reader {
	return rand.NewChaCha8(sha256.Sum256([]byte(string(service) + "/" + requestID)))
}

// DigestOf returns the hexadecimal SHA-256 of the request id followed by the body, and the number
// of body bytes read. The error is that of reading the body.
func DigestOf(requestID string, body io.Reader) (digest string, length int64, err error) {
	hash := sha256.New()
	_, _ = io.WriteString(hash, requestID)
	length, err = io.Copy(hash, body)
	return hex.EncodeToString(hash.Sum(nil)), length, err
}
