// This file guards against error kinds that misstate the outcome of a request, invalid or canceled
// writes that are sent, and malformed machine list entries that hide valid ones.

package objects

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/fault"
)

// newTestClient starts a platform with the given handler and returns a client of it.
func newTestClient(t *testing.T, handler http.HandlerFunc) *Client {
	return newTestClientWith(t, Options{Timeout: 10 * time.Second, MaxResponseBytes: 1000}, handler)
}

func newTestClientWith(t *testing.T, options Options, handler http.HandlerFunc) *Client {
	server := httptest.NewServer(handler)
	client := NewClient(server.URL, options)
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client
}

func respondWith(status int, body string) http.HandlerFunc {
	return func(response http.ResponseWriter, _ *http.Request) {
		response.WriteHeader(status)
		fmt.Fprint(response, body)
	}
}

func respondTruncated(response http.ResponseWriter, _ *http.Request) {
	response.Header().Set("Content-Length", "100")
	fmt.Fprint(response, "{")
}

func respondRedirect(response http.ResponseWriter, request *http.Request) {
	http.Redirect(response, request, "/elsewhere", http.StatusTemporaryRedirect)
}

func TestUnexpectedResponses(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		read    fault.Kind
		write   fault.Kind
	}{
		{"server error", respondWith(500, "oops"), fault.Unavailable, fault.OutcomeUnknown},
		{"not applied", respondWith(503, `{"error":"full","applied":false}`), fault.Unavailable, fault.Unavailable},
		{"too many requests", respondWith(429, ""), fault.Overloaded, fault.Overloaded},
		{"bad request", respondWith(400, ""), fault.Invalid, fault.Invalid},
		{"forbidden", respondWith(403, ""), fault.Unauthenticated, fault.Unauthenticated},
		{"request timeout", respondWith(408, ""), fault.Unavailable, fault.OutcomeUnknown},
		{"redirect", respondRedirect, fault.Unavailable, fault.OutcomeUnknown},
		{"not JSON", respondWith(200, "<html>"), fault.Invalid, fault.OutcomeUnknown},
		{"another object", respondWith(200, `{"name":"other","version":9}`), fault.Invalid, fault.OutcomeUnknown},
		{"old version", respondWith(200, `{"name":"lessons","version":4}`), fault.Internal, fault.OutcomeUnknown},
		{"too large", respondWith(200, `"`+strings.Repeat("x", 2000)+`"`), fault.Invalid, fault.OutcomeUnknown},
		{"truncated body", respondTruncated, fault.Unavailable, fault.OutcomeUnknown},
		{"conflict without object", respondWith(412, ""), fault.Invalid, fault.OutcomeUnknown},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			client := newTestClient(t, test.handler)
			_, err := client.Get(t.Context(), "lessons")
			if test.read == fault.Internal { // marks a response that is valid for a read
				is.NoErr(err)
			} else {
				is.Equal(fault.KindOf(err), test.read)
			}
			write := Write{Name: "lessons", Expected: 4, Body: []byte(`{}`), Command: NewCommandID(), Author: "operator"}
			_, err = client.Put(t.Context(), write)
			is.Equal(fault.KindOf(err), test.write)
			_, err = client.Delete(t.Context(), write)
			is.Equal(fault.KindOf(err), test.write)
		})
	}
}

func TestInvalidWritesAreNotSent(t *testing.T) {
	is := is.New(t)
	client := newTestClient(t, func(http.ResponseWriter, *http.Request) { t.Error("an invalid or canceled write was sent") })
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	write := Write{Name: "lessons", Body: []byte(`{}`), Command: NewCommandID(), Author: "operator"}
	_, err := client.Put(canceled, write)
	is.Equal(fault.KindOf(err), fault.Unavailable)
	_, err = client.Get(canceled, "lessons")
	is.Equal(fault.KindOf(err), fault.Canceled)
	write.Author = "two\nlines"
	_, err = client.Put(t.Context(), write)
	is.Equal(fault.KindOf(err), fault.Invalid)
	write.Author, write.Command = "operator", ""
	_, err = client.Delete(t.Context(), write)
	is.Equal(fault.KindOf(err), fault.Invalid)
}

func TestMachinesOmitsMalformedEntries(t *testing.T) {
	is := is.New(t)
	client := newTestClient(t, respondWith(200, `{"machines":[{"id":"a","control":"nowhere"},{"id":"b","control":"127.0.0.1:9"}]}`))
	machines, err := client.Machines(t.Context())
	is.Equal(len(machines), 1)
	is.Equal(machines[0].ID, "b")
	is.Equal(fault.KindOf(err), fault.Invalid)
}
