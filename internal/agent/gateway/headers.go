// This file removes hop-by-hop headers, and parses and formats the timeout header. Timeouts that
// are not between 1 ms and maxTimeout are rejected.

package gateway

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/burlmill/burlmill/fault"
)

// HeaderTimeout is the request header with the time in milliseconds within which the response must
// be complete. The gateway forwards the time that remains.
const HeaderTimeout = "Burlmill-Timeout-Ms"

// maxTimeout bounds HeaderTimeout.
const maxTimeout = 24 * time.Hour

// hopByHopHeaders lists the hop-by-hop headers (RFC 9110, section 7.6.1), which are not forwarded.
// The Connection header may name further ones.
var hopByHopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// endToEndHeader returns a copy of the header without the hop-by-hop headers.
func endToEndHeader(header http.Header) http.Header {
	copied := header.Clone()
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			copied.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		copied.Del(name)
	}
	return copied
}

// parseTimeout returns the value of HeaderTimeout, or 0 if the header is missing. Errors are of
// kind fault.Invalid.
func parseTimeout(header http.Header) (time.Duration, error) {
	value := header.Get(HeaderTimeout)
	if value == "" {
		return 0, nil
	}
	milliseconds, err := strconv.ParseInt(value, 10, 64)
	if err != nil || milliseconds < 1 || milliseconds > maxTimeout.Milliseconds() {
		return 0, fault.InvalidField(HeaderTimeout, value, "must be 1 to 86400000 milliseconds")
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}

// setTimeout sets HeaderTimeout to the remaining time, at least 1 ms.
func setTimeout(header http.Header, remaining time.Duration) {
	header.Set(HeaderTimeout, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
}
