package simulation

import (
	"errors"
	"strconv"
	"strings"
	"time"
)

// ErrUnknownCommand is returned for a verb that a world does not know.
var ErrUnknownCommand = errors.New("unknown command")

// Command is one line of a scenario: a verb, words, and key=value options.
type Command struct {
	Line    string
	Verb    string
	Words   []string
	Options map[string]string
}

// Parse reads a line; ok is false for one that is empty or a comment.
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

// Word returns the i-th word or "".
func (c Command) Word(i int) string {
	if i < len(c.Words) {
		return c.Words[i]
	}
	return ""
}

// Uint returns a word as a whole number, 0 if it is not one.
func (c Command) Uint(i int) uint64 {
	n, _ := strconv.ParseUint(c.Word(i), 10, 64)
	return n
}

// Int returns a word as a count, 0 if it is not one.
func (c Command) Int(i int) int { return int(c.Uint(i)) }

// Float returns a word as a number, 0 if it is not one.
func (c Command) Float(i int) float64 {
	v, _ := strconv.ParseFloat(c.Word(i), 64)
	return v
}

// Milliseconds returns a word, a number of milliseconds, as a duration.
func (c Command) Milliseconds(i int) time.Duration {
	return time.Duration(c.Float(i) * float64(time.Millisecond))
}

// OptionFloat returns an option as a number, or the default if it is absent.
func (c Command) OptionFloat(key string, absent float64) float64 {
	v, err := strconv.ParseFloat(c.Options[key], 64)
	if err != nil {
		return absent
	}
	return v
}

// OptionDuration returns an option, a number of milliseconds, as a duration, or the default if it is absent.
func (c Command) OptionDuration(key string, absentMilliseconds float64) time.Duration {
	return time.Duration(c.OptionFloat(key, absentMilliseconds) * float64(time.Millisecond))
}

// CommandTable maps verbs to the functions of a world that run them.
type CommandTable[W any] map[string]func(W, Command) error

// Do runs a command, or returns ErrUnknownCommand.
func (t CommandTable[W]) Do(world W, c Command) error {
	carryOut := t[c.Verb]
	if carryOut == nil {
		return ErrUnknownCommand
	}
	return carryOut(world, c)
}
