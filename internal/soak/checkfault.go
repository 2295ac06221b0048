package soak

import (
	"strings"
	"syscall"
)

// processExit describes how a process ended and which signals it was sent.
type processExit struct {
	name    string
	history signalHistory
	code    int
	signal  syscall.Signal
	log     string
}

// faultPatterns are texts that must not occur in the log of a process: reports of the Go runtime, and event 116 (the
// stop timed out).
var faultPatterns = []string{"WARNING: DATA RACE", "fatal error:", "panic:", `"event":116`}

// checkExit checks rule Fault: a process ends only after SIGKILL, or after SIGTERM with exit code 0 and event 103
// (stopped) in its last log line. A signal that is sent before the first log line may end the process through the
// signal's default action. In no case does the log contain one of faultPatterns.
func checkExit(r *recorder, e processExit) {
	for _, pattern := range faultPatterns {
		if at := strings.Index(e.log, pattern); at >= 0 {
			r.addViolation(ruleFault, "%s: %s", e.name, excerpt(e.log[at:]))
			return
		}
	}
	switch {
	case e.history.killed, e.signal != 0 && e.history.earlySignals[e.signal]:
		return
	case !e.history.terminated:
		r.addViolation(ruleFault, "%s ended without SIGKILL or SIGTERM: exit code %d, signal %v, last log line: %s",
			e.name, e.code, e.signal, lastLine(e.log))
	case e.code != 0:
		r.addViolation(ruleFault, "%s ended after SIGTERM with exit code %d, signal %v, last log line: %s",
			e.name, e.code, e.signal, lastLine(e.log))
	case !strings.Contains(lastLine(e.log), `"event":103`):
		r.addViolation(ruleFault, "%s ended after SIGTERM without event 103 in its last log line: %s",
			e.name, lastLine(e.log))
	}
}

const maxExcerpt = 4000 // bytes

func excerpt(text string) string { return text[:min(len(text), maxExcerpt)] }

func lastLine(log string) string {
	lines := strings.Split(strings.TrimSpace(log), "\n")
	return lines[len(lines)-1]
}
