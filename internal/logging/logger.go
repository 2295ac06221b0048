// Package logging writes log events as lines of JSON on standard error. Each line has the number of its kind of event;
// docs/events.md lists the numbers for operators.
package logging

import (
	"os"
	"time"

	"github.com/rs/zerolog"
)

// eventField is the field of a line that holds its EventNumber.
const eventField = "event"

// Logger writes the events of one process. It is safe for concurrent use.
type Logger struct{ logger zerolog.Logger }

// New makes a logger on standard error. Every line contains the node and the program.
func New(node, program string) *Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	zerolog.DurationFieldInteger = true
	logger := zerolog.New(os.Stderr).With().Timestamp().Str("node", node).Str("program", program).Logger()
	return &Logger{logger: logger}
}

// Nop returns a logger that writes nothing.
func Nop() *Logger { return &Logger{logger: zerolog.Nop()} }

// SetLevel sets the lowest level that is written, for the whole process: trace, debug, info, warn or error. An empty
// or unknown name means info.
func (l *Logger) SetLevel(name string) {
	level, err := zerolog.ParseLevel(name)
	if err != nil || name == "" {
		level = zerolog.InfoLevel
	}
	zerolog.SetGlobalLevel(level)
}

// Debug starts an event that only a developer may want to see.
func (l *Logger) Debug(n EventNumber) *zerolog.Event { return l.logger.Debug().Int(eventField, int(n)) }

// Info starts an event that an operator may want to see.
func (l *Logger) Info(n EventNumber) *zerolog.Event { return l.logger.Info().Int(eventField, int(n)) }

// Warn starts an event that an operator should look at.
func (l *Logger) Warn(n EventNumber) *zerolog.Event { return l.logger.Warn().Int(eventField, int(n)) }

// Error starts an event that means the process can't do its work.
func (l *Logger) Error(n EventNumber) *zerolog.Event { return l.logger.Error().Int(eventField, int(n)) }
