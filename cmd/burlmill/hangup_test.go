package main

import (
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestHangupIsReceivedEarly guards against a process that a SIGHUP ends shortly after its start,
// because the handler is installed only after the initialization of packages that takes long. These
// import reflect, directly or not.
func TestHangupIsReceivedEarly(t *testing.T) {
	is := is.New(t)
	executable, err := os.Executable()
	is.NoErr(err)
	command := exec.Command(executable, "-test.run=^$") // has the imports of the program
	command.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	output, err := command.CombinedOutput()
	is.NoErr(err)
	position := func(path string) int {
		index := strings.Index(string(output), "\ninit "+path+" ")
		is.True(index >= 0)
		return index
	}
	is.True(position("github.com/burlmill/burlmill/internal/hangup") < position("reflect"))
}
