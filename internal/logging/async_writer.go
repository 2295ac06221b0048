package logging

import (
	"io"
	"slices"
	"sync/atomic"
	"time"
)

const (
	maxQueuedLines = 1024 // lines that wait for the reader of the log
	maxLineBytes   = 16 << 10
)

// asyncWriter passes lines on to a file in a goroutine of its own, so that no caller waits for the
// reader of the log. Lines that find the queue full, or that the file refuses, are counted as lost.
type asyncWriter struct {
	out     io.Writer
	entries chan logEntry
	lost    atomic.Int64 // lines since the last notice
	closed  atomic.Bool
	// notice makes the line that tells how many lines were lost. It is called with lost above 0.
	notice func(lost int64) []byte
}

// logEntry is a line, or a request to report that all lines before it were handled.
type logEntry struct {
	line    []byte
	handled chan struct{} // nil for a line
}

func newAsyncWriter(out io.Writer, notice func(lost int64) []byte) *asyncWriter {
	w := &asyncWriter{out: out, entries: make(chan logEntry, maxQueuedLines), notice: notice}
	go w.run() // for the life of the process
	return w
}

// Write queues a copy of a line. It never fails and never waits.
func (w *asyncWriter) Write(line []byte) (int, error) {
	if !w.closed.Load() {
		w.enqueue(line)
	}
	return len(line), nil
}

func (w *asyncWriter) enqueue(line []byte) {
	kept := slices.Clone(line[:min(len(line), maxLineBytes)])
	select {
	case w.entries <- logEntry{line: kept}:
	default:
		w.lost.Add(1)
	}
}

func (w *asyncWriter) run() {
	for entry := range w.entries {
		if entry.handled != nil {
			close(entry.handled)
			continue
		}
		if w.writeNotice() {
			w.writeLine(entry.line)
		} else {
			w.lost.Add(1)
		}
	}
}

// writeNotice tells how many lines were lost, if any, and reports whether the file takes lines.
func (w *asyncWriter) writeNotice() bool {
	lost := w.lost.Load()
	if lost == 0 {
		return true
	}
	if _, err := w.out.Write(w.notice(lost)); err != nil {
		return false
	}
	w.lost.Add(-lost)
	return true
}

func (w *asyncWriter) writeLine(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.lost.Add(1)
	}
}

// flush waits up to timeout until the lines that are queued were written or lost.
func (w *asyncWriter) flush(timeout time.Duration) {
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	entry := logEntry{handled: make(chan struct{})}
	select {
	case w.entries <- entry:
	case <-deadline.C:
		return
	}
	select {
	case <-entry.handled:
	case <-deadline.C:
	}
}
