// Package soak runs the programs as real processes on loopback addresses, under signals, restarts,
// configuration changes and client traffic, and checks a set of rules from what clients, leafs, the
// operator and the platform observe.
//
// The disruptions of a run form a plan that is generated from a seed before the run starts and can be
// run again. The operating system schedules the processes, so two runs of one plan are similar but not
// identical. docs/testing.md describes how to run it, which rules it checks and which it cannot check.
package soak
