// Package process implements the lifecycle of a program: startup, members, signal handling, reloads of the settings,
// shutdown, and the log lines that state why the process ended.
//
// A program declares its listeners and its members; see Program and the methods of Process that SetUp calls. The start
// waits for resources that may be unavailable for a short time: a port that is in use, a data directory, or a settings
// file that is being written. SIGTERM ends the process at any time. Apart from SIGKILL and the signals on which the Go
// runtime exits, such as SIGQUIT, a process in service ends only on SIGTERM, on SIGINT, or when a member returns or
// panics. docs/process-life.md lists every way in which a process can end, fail to start, or fail to stop.
package process
