// Command child is a program for the tests of package process.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const tickInterval = 2 * time.Millisecond

func main() {
	stop := make(chan os.Signal, 1)
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
		case <-tick.C:
			fmt.Fprintln(os.Stderr, "event=tick")
		}
	}
}
