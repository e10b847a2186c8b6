package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/burlmill/burlmill/handshake"
	"github.com/burlmill/burlmill/routing"
)

// TestBackendIdleTimeout guards against an idle timeout that is assumed although the configuration
// contains another one, or although a newer configuration may.
func TestBackendIdleTimeout(t *testing.T) {
	is := is.New(t)
	a := newConfiguredAgent(t)
	is.Equal(a.backendIdleTimeout(), handshake.DefaultIdleTimeout) // the configuration contains none
	a.behindSince = time.Now()
	is.Equal(a.backendIdleTimeout(), time.Duration(0))
	a.behindSince = time.Time{}
	table, err := routing.New(routing.Content{Version: 6, IdleTimeout: 5 * time.Second})
	is.NoErr(err)
	a.table = table
	is.Equal(a.backendIdleTimeout(), 5*time.Second)
	a.table = nil
	is.Equal(a.backendIdleTimeout(), time.Duration(0))
}
