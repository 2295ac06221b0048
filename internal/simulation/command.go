package simulation

import (
	"errors"
	"strconv"
	"strings"
	"time"
)

// ErrUnknownCommand is returned for a verb that is not in the command table.
var ErrUnknownCommand = errors.New("unknown command")

// Command is one line of a scenario: a verb, positional words, and key=value options.
type Command struct {
	Line    string
	Verb    string
	Words   []string
	Options map[string]string
}

// Parse parses a line of a scenario; ok is false if it holds no command.
func Parse(line string) (c Command, ok bool) {
	line, _, _ = strings.Cut(line, "#")
	fields := strings.Fields(line)
	if len(fields) == 0 {
		return c, false
	}
	c = Command{Line: strings.TrimSpace(line), Verb: fields[0], Options: map[string]string{}}
	for _, field := range fields[1:] {
		key, value, isOption := strings.Cut(field, "=")
		if isOption {
			c.Options[key] = value
		} else {
			c.Words = append(c.Words, field)
		}
	}
	return c, true
}

// Word returns the i-th word, counted from 0, or "" if there are fewer.
func (c Command) Word(i int) string {
	if i < len(c.Words) {
		return c.Words[i]
	}
	return ""
}

// Uint returns the i-th word as an unsigned integer, or 0 if it is not one.
func (c Command) Uint(i int) uint64 {
	n, _ := strconv.ParseUint(c.Word(i), 10, 64)
	return n
}

// Int returns the i-th word as an int, or 0 if it is not an unsigned integer.
func (c Command) Int(i int) int { return int(c.Uint(i)) }

// Float returns the i-th word as a number, or 0 if it is not one.
func (c Command) Float(i int) float64 {
	v, _ := strconv.ParseFloat(c.Word(i), 64)
	return v
}

// Milliseconds returns the i-th word, a number of milliseconds, as a duration, or 0 if it is not a number.
func (c Command) Milliseconds(i int) time.Duration {
	return time.Duration(c.Float(i) * float64(time.Millisecond))
}

// OptionFloat returns an option as a number, or the default if it is absent or invalid.
func (c Command) OptionFloat(key string, defaultValue float64) float64 {
	v, err := strconv.ParseFloat(c.Options[key], 64)
	if err != nil {
		return defaultValue
	}
	return v
}

// OptionDuration returns an option, a number of milliseconds, as a duration, or the default if the option
// is absent or invalid.
func (c Command) OptionDuration(key string, defaultMilliseconds float64) time.Duration {
	return time.Duration(c.OptionFloat(key, defaultMilliseconds) * float64(time.Millisecond))
}

// CommandTable maps verbs to the functions of a world that run them.
type CommandTable[W any] map[string]func(W, Command) error

// Do runs a command. It returns ErrUnknownCommand if the table does not have its verb.
func (t CommandTable[W]) Do(world W, c Command) error {
	run := t[c.Verb]
	if run == nil {
		return ErrUnknownCommand
	}
	return run(world, c)
}
