// Package logging writes numbered events: lines of JSON on standard error, each with the number of what happened.
// docs/events.md lists the numbers for operators.
package logging

import (
	"os"
	"time"

	"github.com/rs/zerolog"
)

// eventField is the field of a line that holds its EventNumber.
const eventField = "event"

// Logger writes the events of one process. It is safe for use by several goroutines.
type Logger struct{ logger zerolog.Logger }

// New makes a logger on standard error. Every line names the node and the program.
func New(node, program string) *Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	zerolog.DurationFieldInteger = true
	logger := zerolog.New(os.Stderr).With().Timestamp().Str("node", node).Str("program", program).Logger()
	return &Logger{logger: logger}
}

// Nop returns a logger that writes nothing.
func Nop() *Logger { return &Logger{logger: zerolog.Nop()} }

// SetLevel sets the least level that is written, for the whole process: trace, debug, info, warn or error. An empty
// or unknown name means info.
func (l *Logger) SetLevel(name string) {
	level, err := zerolog.ParseLevel(name)
	if err != nil || name == "" {
		level = zerolog.InfoLevel
	}
	zerolog.SetGlobalLevel(level)
}

// Debug begins a line with a detail that only a developer may want to know.
func (l *Logger) Debug(n EventNumber) *zerolog.Event { return l.logger.Debug().Int(eventField, int(n)) }

// Info begins a line with something that an operator may want to know.
func (l *Logger) Info(n EventNumber) *zerolog.Event { return l.logger.Info().Int(eventField, int(n)) }

// Warn begins a line with something that an operator should look at.
func (l *Logger) Warn(n EventNumber) *zerolog.Event { return l.logger.Warn().Int(eventField, int(n)) }

// Error begins a line with something that keeps the process from its work.
func (l *Logger) Error(n EventNumber) *zerolog.Event { return l.logger.Error().Int(eventField, int(n)) }
