// Command leastprogram only asks for SIGHUP. It is what a program of the language can do at its start at best.
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
