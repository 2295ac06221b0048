// Package logging writes log events as lines of JSON on standard error. Each line has the number of its kind of event;
// docs/events.md lists the numbers for operators.
//
// A separate goroutine writes the lines, so that callers don't block when standard error is a full or closed pipe.
// Lines that are lost for this reason are counted, and the count is logged as soon as standard error accepts lines
// again.
package logging

import (
	"bytes"
	"io"
	stdlog "log"
	"os"
	"time"

	"github.com/rs/zerolog"
)

// eventField is the field of a line that holds its EventNumber.
const eventField = "event"

// Logger writes the events of one process. It is safe for concurrent use.
type Logger struct {
	logger zerolog.Logger
	writer *asyncWriter // nil in a logger that writes nothing, and in the logger for the last line
}

// New returns a logger that writes to standard error. Every line contains the names of the node and the program.
func New(node, program string) *Logger { return newLogger(os.Stderr, node, program) }

func newLogger(out io.Writer, node, program string) *Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	zerolog.DurationFieldInteger = true
	writer := newAsyncWriter(out, func(lost int64) []byte { return lostLinesNotice(node, program, lost) })
	return &Logger{logger: newZerolog(writer, node, program), writer: writer}
}

func newZerolog(out io.Writer, node, program string) zerolog.Logger {
	return zerolog.New(out).With().Timestamp().Str("node", node).Str("program", program).Logger()
}

// lostLinesNotice returns the line that reports the number of lost lines.
func lostLinesNotice(node, program string, lost int64) []byte {
	var line bytes.Buffer
	logger := newZerolog(&line, node, program)
	logger.WithLevel(zerolog.WarnLevel).
		Int(eventField, int(LinesLost)).
		Int64("lines", lost).
		Msg("log lines were lost: the log output was blocked or failed")
	return line.Bytes()
}

// Nop returns a logger that writes nothing.
func Nop() *Logger { return &Logger{logger: zerolog.Nop()} }

// Close calls writeLast, if it isn't nil, with a logger for the last line, and waits up to timeout until all queued
// lines are written or lost. Lines that are logged through l after the call are discarded.
func (l *Logger) Close(timeout time.Duration, writeLast func(last *Logger)) {
	if l.writer == nil {
		return
	}
	l.writer.closed.Store(true)
	if writeLast != nil {
		writeLast(&Logger{logger: l.logger.Output(lastLineWriter{l.writer})})
	}
	l.writer.flush(timeout)
}

// lastLineWriter queues lines even after the log is closed.
type lastLineWriter struct{ writer *asyncWriter }

func (w lastLineWriter) Write(line []byte) (int, error) {
	w.writer.enqueue(line)
	return len(line), nil
}

// CaptureStandardLog logs the lines of the standard library's logger, which net/http uses, as events of l.
func (l *Logger) CaptureStandardLog() {
	stdlog.SetFlags(0)
	stdlog.SetOutput(standardLogWriter{l})
}

// standardLogWriter turns the lines of the standard library's logger into events.
type standardLogWriter struct{ log *Logger }

func (w standardLogWriter) Write(text []byte) (int, error) {
	w.log.Warn(LibraryMessage).Msg(string(bytes.TrimSpace(text)))
	return len(text), nil
}

// SetLevel sets the lowest level that is written: trace, debug, info, warn or error. It applies to all loggers of the
// process. An empty or unknown name means info.
func (l *Logger) SetLevel(name string) {
	level, err := zerolog.ParseLevel(name)
	if err != nil || name == "" {
		level = zerolog.InfoLevel
	}
	zerolog.SetGlobalLevel(level)
}

// Debug starts an event that is of interest only to developers.
func (l *Logger) Debug(n EventNumber) *zerolog.Event { return l.logger.Debug().Int(eventField, int(n)) }

// Info starts an event that may interest an operator.
func (l *Logger) Info(n EventNumber) *zerolog.Event { return l.logger.Info().Int(eventField, int(n)) }

// Warn starts an event that an operator should look at.
func (l *Logger) Warn(n EventNumber) *zerolog.Event { return l.logger.Warn().Int(eventField, int(n)) }

// Error starts an event that means the process can't do its work.
func (l *Logger) Error(n EventNumber) *zerolog.Event { return l.logger.Error().Int(eventField, int(n)) }
