// Command child is the child process of the tests of package process. It logs that it is ready,
// then writes a line at each tick until SIGTERM. With the argument "fail" it exits with code 3 at
// once. It logs SIGHUP.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// tickInterval is the time between two lines that the child writes to standard error.
const tickInterval = 2 * time.Millisecond

func main() {
	stop := make(chan os.Signal, 1)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Notify(stop, syscall.SIGTERM)
	if len(os.Args) > 1 && os.Args[1] == "fail" {
		fmt.Println("event=failed")
		os.Exit(3)
	}
	fmt.Println("event=ready port=1")
	for tick := time.NewTicker(tickInterval); ; {
		select {
		case <-stop:
			fmt.Println("event=stopped")
			return
		case <-hangups:
			fmt.Println("event=hangup")
		case <-tick.C:
			fmt.Fprintln(os.Stderr, "event=tick")
		}
	}
}
