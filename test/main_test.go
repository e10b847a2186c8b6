// Package test holds the integration tests: the built binaries as real
// processes, hollow and HTTP/3 callers, and back ends that keep a journal by
// which it is judged what ran where. Each test says which promise it proves.
package test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"github.com/burlmill/burlmill/internal/lab/process"
)

// group holds the processes of all tests, and the binaries, which are built once.
var group *process.Group

func TestMain(m *testing.M) {
	code, err := run(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

// run runs the tests. Its error says that they left something behind.
func run(m *testing.M) (code int, err error) {
	if group, err = process.NewGroup(); err != nil {
		return 1, err
	}
	code = m.Run()
	if running := group.Running(); len(running) > 0 {
		return 1, fmt.Errorf("tests left processes running: %s", strings.Join(running, " "))
	}
	if err := group.Close(); err != nil {
		return 1, err
	}
	if children := childrenOf(os.Getpid()); len(children) > 0 {
		return 1, fmt.Errorf("tests left child processes: %s", strings.Join(children, " "))
	}
	return code, goleak.Find()
}

// childrenOf returns the ids of the process's children, ended ones that nobody
// has waited for included.
func childrenOf(parent int) []string {
	files, _ := filepath.Glob("/proc/[0-9]*/stat")
	var children []string
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			continue // it has ended meanwhile
		}
		// The name, in parentheses, may hold anything; the state and the parent's
		// id follow it.
		fields := strings.Fields(string(content[strings.LastIndexByte(string(content), ')')+1:]))
		if len(fields) > 1 && fields[1] == fmt.Sprint(parent) {
			children = append(children, filepath.Base(filepath.Dir(file)))
		}
	}
	return children
}
