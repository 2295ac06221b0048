package soak

import (
	"strings"
	"syscall"
)

// endOfProcess is how a process ended, and what it had been sent.
type endOfProcess struct {
	name   string
	life   life
	code   int
	signal syscall.Signal
	log    string
}

// traces are texts of the runtime that no log may hold.
var traces = []string{"WARNING: DATA RACE", "fatal error:", "panic:", `"event":116`}

// checkEnd judges rule Fault: processes don't end by themselves. A process ends only by SIGKILL, or by SIGTERM, with
// exit code 0 and a last line that says so. Before the first line of its log a signal may end it as the language does
// by itself.
func checkEnd(r *record, e endOfProcess) {
	for _, trace := range traces {
		if at := strings.Index(e.log, trace); at >= 0 {
			r.broken(ruleFault, "%s: %s", e.name, excerpt(e.log[at:]))
			return
		}
	}
	switch {
	case e.life.killed, e.signal != 0 && e.life.earlySignals[e.signal]:
		return
	case !e.life.terminated:
		r.broken(ruleFault, "%s ended by itself: code %d, signal %v: %s", e.name, e.code, e.signal, lastLine(e.log))
	case e.code != 0:
		r.broken(ruleFault, "%s: code %d, signal %v after SIGTERM: %s", e.name, e.code, e.signal, lastLine(e.log))
	case !strings.Contains(lastLine(e.log), `"event":103`):
		r.broken(ruleFault, "%s: the last line does not tell the end: %s", e.name, lastLine(e.log))
	}
}

const maxExcerpt = 4000 // bytes

func excerpt(text string) string { return text[:min(len(text), maxExcerpt)] }

func lastLine(log string) string {
	lines := strings.Split(strings.TrimSpace(log), "\n")
	return lines[len(lines)-1]
}
