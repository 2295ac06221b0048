// Package earlysignal receives SIGHUP, SIGTERM and SIGINT from the first moment at which a Go program can: its
// variables are initialized before nearly all other packages of the binary. Until a program asks for a signal, that
// signal ends it.
//
// A command that is to be ended by these signals calls Release first.
package earlysignal

import (
	"os"
	"os/signal"
	"syscall"
)

// The channels hold one signal each, so that a signal of one kind can't displace one of the other, and repeated signals
// are merged.
var (
	hangups      = subscribe(syscall.SIGHUP)
	terminations = subscribe(syscall.SIGTERM, syscall.SIGINT)
)

func subscribe(signals ...os.Signal) chan os.Signal {
	received := make(chan os.Signal, 1)
	signal.Notify(received, signals...)
	return received
}

// Hangups returns the channel of SIGHUP.
func Hangups() <-chan os.Signal { return hangups }

// Terminations returns the channel of SIGTERM and SIGINT.
func Terminations() <-chan os.Signal { return terminations }

// Release makes the signals end the process again, also by one that was received before.
func Release() {
	signal.Reset(syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	for _, received := range []chan os.Signal{terminations, hangups} {
		select {
		case first := <-received:
			if number, ok := first.(syscall.Signal); ok {
				_ = syscall.Kill(os.Getpid(), number) // a process may always signal itself
			}
		default:
		}
	}
}
