package logging

import (
	"errors"
	"strings"
	"sync"
	"testing"
	"time"
)

// gatedOutput is an output that blocks writes while mu is held, and fails them while failing is set.
type gatedOutput struct {
	mu      sync.Mutex // held by a test to block writes; guards the fields below
	failing bool
	text    strings.Builder
}

func (o *gatedOutput) Write(line []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failing {
		return 0, errors.New("closed pipe")
	}
	return o.text.Write(line)
}

func (o *gatedOutput) contents() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// TestUnreadLogDoesNotBlockCallers guards against callers that block when the log output isn't read and the queue is
// full. Lines that don't fit into the queue must be counted as lost.
func TestUnreadLogDoesNotBlockCallers(t *testing.T) {
	output := &gatedOutput{}
	logger := newLogger(output, "n1", "test")
	output.mu.Lock()
	const surplus = 50
	for range maxQueuedLines + 1 + surplus { // one line is being written
		logger.Info(Started).Msg("line")
	}
	logger.Close(10*time.Millisecond, nil)
	output.mu.Unlock()
	logger.writer.flush(10 * time.Second)
	lines := strings.Count(output.contents(), `"message":"line"`)
	lost := int(logger.writer.lost.Load())
	if lines+lost != maxQueuedLines+1+surplus && !strings.Contains(output.contents(), `"event":111`) {
		t.Errorf("%d lines written and %d counted as lost, want a sum of %d or a notice (event 111)",
			lines, lost, maxQueuedLines+1+surplus)
	}
	if lines < maxQueuedLines {
		t.Errorf("%d lines written, want at least %d", lines, maxQueuedLines)
	}
}

// TestLostLinesAreReported guards against lines that are lost without a notice in the log, and against lines written
// after Close.
func TestLostLinesAreReported(t *testing.T) {
	output := &gatedOutput{failing: true}
	logger := newLogger(output, "n1", "test")
	for range 7 {
		logger.Info(Started).Msg("lost")
	}
	logger.writer.flush(10 * time.Second)
	output.mu.Lock()
	output.failing = false
	output.mu.Unlock()
	logger.Info(Stopped).Msg("kept")
	logger.Close(10*time.Second, func(last *Logger) { last.Info(Stopped).Msg("the last line") })
	logger.Info(Stopped).Msg("after the end")
	logger.writer.flush(10 * time.Second)
	lines := strings.Split(strings.TrimSpace(output.contents()), "\n")
	if len(lines) != 3 || !strings.Contains(lines[0], `"lines":7`) || !strings.Contains(lines[1], "kept") ||
		!strings.Contains(lines[2], "the last line") {
		t.Errorf("the log is %q, want a notice of 7 lost lines, the kept line and the last line", lines)
	}
}
