package gateway

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/burlmill/burlmill/fault"
)

// HeaderTimeout is the header of a request with the time in milliseconds that is
// left for the whole answer. The gateway passes on what is left of it.
const HeaderTimeout = "Burlmill-Timeout-Ms"

// maximumTimeout bounds HeaderTimeout.
const maximumTimeout = 24 * time.Hour

// connectionHeaders concern one connection only (RFC 9110, section 7.6.1) and
// are not passed on, besides those that Connection names.
var connectionHeaders = []string{
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

// endToEnd returns a copy of the header without what concerns one connection.
func endToEnd(header http.Header) http.Header {
	copied := header.Clone()
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			copied.Del(textproto.TrimString(name))
		}
	}
	for _, name := range connectionHeaders {
		copied.Del(name)
	}
	return copied
}

// timeoutOf returns the time that the caller allows, 0 if it says nothing. The
// error is of kind fault.Invalid.
func timeoutOf(header http.Header) (time.Duration, error) {
	value := header.Get(HeaderTimeout)
	if value == "" {
		return 0, nil
	}
	milliseconds, err := strconv.ParseInt(value, 10, 64)
	if err != nil || milliseconds < 1 || milliseconds > maximumTimeout.Milliseconds() {
		return 0, fault.InvalidField(HeaderTimeout, value, "must be 1 to 86400000 milliseconds")
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}

// setTimeout tells the back end how much time is left.
func setTimeout(header http.Header, left time.Duration) {
	header.Set(HeaderTimeout, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
}
