// Package soak plays the programs as real processes on loopback addresses, under series of signals,
// restarts, changes of the configuration and traffic that are drawn from a seed, and judges them by
// what clients, leafs, the operator and the platform see.
//
// The plan of a run is drawn before it starts and can be played again; the scheduling of processes
// is left to the machine, so two runs of one plan are alike but not the same. docs/testing.md says
// how to run it, which rules it judges, and which it can't.
package soak
