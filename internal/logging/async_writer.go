package logging

import (
	"io"
	"slices"
	"sync/atomic"
	"time"
)

const (
	maxQueuedLines = 1024     // lines that wait to be written
	maxLineBytes   = 16 << 10 // longer lines are truncated
)

// asyncWriter queues lines and writes them to the output in a separate goroutine, so that no caller blocks when the
// output does. Lines are counted as lost if the queue is full or the write fails.
type asyncWriter struct {
	out     io.Writer
	entries chan logEntry
	lost    atomic.Int64 // lines lost since the last notice
	closed  atomic.Bool
	// notice formats the line that reports the number of lost lines. It is called only with lost > 0.
	notice func(lost int64) []byte
}

// logEntry is a line or, if handled is not nil, a marker: run closes handled when all earlier lines have been written
// or lost.
type logEntry struct {
	line    []byte
	handled chan struct{} // nil for a line
}

func newAsyncWriter(out io.Writer, notice func(lost int64) []byte) *asyncWriter {
	w := &asyncWriter{out: out, entries: make(chan logEntry, maxQueuedLines), notice: notice}
	go w.run() // runs until the process ends
	return w
}

// Write queues a copy of a line. It never fails and never blocks. After closed is set it discards the line.
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

// writeNotice writes the number of lost lines, if any. It returns false if that write fails.
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

// flush waits up to timeout until the lines that are already queued have been written or lost.
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
