// Package process is the life of a program as a process: its start, its members, its signals and
// settings, its stop, and the log lines that tell why it ended.
//
// A program declares what it listens on and what it runs; see Program and the methods of Process that SetUp calls. The
// start waits for what is missing for a moment: a port that is taken, a data directory, a settings file that is being
// written. SIGTERM ends the process at any moment of its life, and nothing but SIGTERM, SIGINT or a member that fails
// for good ends it. docs/process-life.md lists every way in which a process can end, fail to start, or fail to stop.
package process
