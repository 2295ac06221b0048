// Package earlysignal subscribes to SIGHUP, SIGTERM and SIGINT as early as a Go program can: its variables are
// initialized before those of nearly all other packages of the binary. Until a program subscribes to one of these
// signals, the signal terminates it.
//
// A command that these signals should terminate calls Release first.
package earlysignal

import (
	"os"
	"os/signal"
	"syscall"
)

// SIGHUP has a separate channel, so that it can't fill the buffer that SIGTERM and SIGINT need. Each channel buffers
// one signal, so repeated signals are merged.
var (
	hangups      = subscribe(syscall.SIGHUP)
	terminations = subscribe(syscall.SIGTERM, syscall.SIGINT)
)

func subscribe(signals ...os.Signal) chan os.Signal {
	received := make(chan os.Signal, 1)
	signal.Notify(received, signals...)
	return received
}

// Hangups returns the channel that receives SIGHUP.
func Hangups() <-chan os.Signal { return hangups }

// Terminations returns the channel that receives SIGTERM and SIGINT.
func Terminations() <-chan os.Signal { return terminations }

// Release restores the default action of the signals, which terminates the process. It resends a signal that was
// received before the call, so that this signal takes effect too.
func Release() {
	signal.Reset(syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	for _, received := range []chan os.Signal{terminations, hangups} {
		select {
		case first := <-received:
			if number, ok := first.(syscall.Signal); ok {
				_ = syscall.Kill(os.Getpid(), number) // can't fail: a process may always signal itself
			}
		default:
		}
	}
}
