package testbed

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
)

const (
	ticksPerSecond = 100 // USER_HZ
	kilobytesPerMb = 1024
)

// Indexes of fields in /proc/PID/stat, counted from the field after the command name in parentheses.
const (
	statUserTicks   = 11
	statSystemTicks = 12
)

// ProcessorSeconds returns the user and system processor time that a process has used, in seconds; 0 if it
// has ended.
func ProcessorSeconds(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	user, _ := strconv.ParseFloat(fields[statUserTicks], 64)
	system, _ := strconv.ParseFloat(fields[statSystemTicks], 64)
	return (user + system) / ticksPerSecond
}

// Memory is the resident memory of a process, in MB.
type Memory struct {
	Now  float64
	Peak float64
}

// MemoryOf returns the resident memory of a process; zero if it has ended.
func MemoryOf(pid int) (memory Memory) {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)) // fails if the process has ended
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kilobytes, _ := strconv.ParseFloat(fields[1], 64)
		switch fields[0] {
		case "VmRSS:":
			memory.Now = kilobytes / kilobytesPerMb
		case "VmHWM:":
			memory.Peak = kilobytes / kilobytesPerMb
		}
	}
	return memory
}

// DescriptorsOf returns the number of open descriptors of a process; 0 if it has ended.
func DescriptorsOf(pid int) int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)) // fails if the process has ended
	return len(entries)
}
