package loadtest

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

// Fields of /proc/PID/stat after the command's name in parentheses.
const (
	statUserTicks   = 11
	statSystemTicks = 12
)

// processorSeconds returns the processor time that a process has used; 0 if it has ended.
func processorSeconds(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	user, _ := strconv.ParseFloat(fields[statUserTicks], 64)
	system, _ := strconv.ParseFloat(fields[statSystemTicks], 64)
	return (user + system) / ticksPerSecond
}

// memoryUsage returns the memory of a process; the CPU field is 0.
func memoryUsage(pid int) Usage {
	var used Usage
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)) // if the process has ended: 0
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kilobytes, _ := strconv.ParseFloat(fields[1], 64)
		switch fields[0] {
		case "VmRSS:":
			used.RSSMb = kilobytes / kilobytesPerMb
		case "VmHWM:":
			used.Peak = kilobytes / kilobytesPerMb
		}
	}
	return used
}
