// Command leastprogram only subscribes to SIGHUP. The tests compare comethold with it, since no Go program can handle
// SIGHUP sooner after its start.
package main

import (
	"os"
	"os/signal"
	"syscall"
)

func main() {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	select {}
}
