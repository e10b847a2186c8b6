package backend

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"math/rand/v2"

	"github.com/burlmill/burlmill/catalog"
)

// Headers of requests and answers that callers and judges rely on.
const (
	HeaderRequestID      = "Lab-Request-Id"  // of a request: names it in the journal and in its answer
	HeaderDigest         = "Lab-Digest"      // of an answer: DigestOf the request id and the request's body
	HeaderService        = "Lab-Service"     // name of the service that gave an answer, or that a request is meant for
	HeaderBackend        = "Lab-Backend"     // of an answer: id of the back end that gave it
	HeaderIdempotencyKey = "Idempotency-Key" // of a request: the IETF draft's header
)

// Content returns the endless body of a download. It depends on the service and
// on the request's id, so that an answer to another request, or from another
// service, differs from its first bytes on.
func Content(service catalog.ServiceName, requestID string) io.Reader {
	return rand.NewChaCha8(sha256.Sum256([]byte(string(service) + "/" + requestID)))
}

// DigestOf returns the hexadecimal SHA-256 of the request id followed by the
// body, and the number of body bytes read. The error is that of the reader.
func DigestOf(requestID string, body io.Reader) (digest string, length int64, err error) {
	hash := sha256.New()
	_, _ = io.WriteString(hash, requestID)
	length, err = io.Copy(hash, body)
	return hex.EncodeToString(hash.Sum(nil)), length, err
}
