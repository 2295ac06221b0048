package soak

import (
	"math/rand/v2"
	"time"
)

// Action is the kind of a disruption.
type Action string

// The actions.
const (
	Reload              Action = "reload"            // several SIGHUP, each with changed settings
	Terminate           Action = "terminate"         // SIGTERM; the process is restarted after it has exited
	Kill                Action = "kill"              // SIGKILL; the process is restarted
	KillAtStart         Action = "kill-at-start"     // SIGKILL, then another while the process restarts
	SignalsAtStart      Action = "signals-at-start"  // SIGKILL, then SIGHUP and SIGTERM while the process restarts
	Suspend             Action = "suspend"           // SIGSTOP, then SIGCONT after Event.Duration
	ReloadThenTerminate Action = "reload-terminate"  // a series of SIGHUP, then SIGTERM
	TerminateSuspended  Action = "suspend-terminate" // SIGTERM while the process is suspended
	HoldPort            Action = "hold-port"         // SIGKILL, then the internal port stays occupied for Event.Duration
	KillControlNodes    Action = "kill-control"      // SIGKILL to all control nodes at once
)

// actionWeights are the relative frequencies of the actions.
var actionWeights = []struct {
	action Action
	weight int
}{
	{Reload, 6},
	{Terminate, 5},
	{Kill, 4},
	{KillAtStart, 3},
	{SignalsAtStart, 4},
	{Suspend, 4},
	{ReloadThenTerminate, 3},
	{TerminateSuspended, 2},
	{HoldPort, 2},
	{KillControlNodes, 1},
}

// Event is one disruption.
type Event struct {
	At       time.Duration `json:"at"`   // since the start of the disruptions, in nanoseconds
	Unit     int           `json:"unit"` // index of the process
	Action   Action        `json:"action"`
	Count    int           `json:"count"` // number of signals in a series
	Duration time.Duration `json:"for"`   // of a suspension or of the occupation of a port, in nanoseconds
	Interval time.Duration `json:"gap"`   // between the signals of a series, in nanoseconds
}

// Plan describes a run; the events are in order of time.
type Plan struct {
	Seed     uint64        `json:"seed"`
	Duration time.Duration `json:"duration"` // of the disruptions, in nanoseconds
	Size     Size          `json:"size"`
	Events   []Event       `json:"events"`
	// RaceBuilt reports whether the programs are built with the race detector, which needs additional memory.
	RaceBuilt bool `json:"raceBuilt"`
}

// Size is the number of processes and clients of a run.
type Size struct {
	ControlNodes int `json:"controlNodes"`
	Proxies      int `json:"proxies"`
	ObjectCaches int `json:"objectCaches"`
	Clients      int `json:"clients"`
}

func (s Size) units() int { return s.ControlNodes + s.Proxies + s.ObjectCaches }

// Bounds of the random values in a plan.
const (
	minEventGap     = 30 * time.Millisecond
	meanEventGap    = 400 * time.Millisecond
	maxSeriesLength = 12
	maxSuspension   = 1500 * time.Millisecond
	maxSignalGap    = 40 * time.Millisecond
)

// GeneratePlan generates the plan of a seed; the same arguments always give the same plan.
func GeneratePlan(seed uint64, duration time.Duration, size Size) Plan {
	rng := rand.New(rand.NewPCG(seed, 0))
	plan := Plan{Seed: seed, Duration: duration, Size: size}
	for at := time.Duration(0); ; {
		at += minEventGap + time.Duration(rng.ExpFloat64()*float64(meanEventGap))
		if at >= duration {
			return plan
		}
		plan.Events = append(plan.Events, Event{
			At:       at,
			Unit:     rng.IntN(size.units()),
			Action:   drawAction(rng),
			Count:    1 + rng.IntN(maxSeriesLength),
			Duration: time.Duration(rng.Int64N(int64(maxSuspension))),
			Interval: time.Duration(rng.Int64N(int64(maxSignalGap))),
		})
	}
}

func drawAction(rng *rand.Rand) Action {
	total := 0
	for _, choice := range actionWeights {
		total += choice.weight
	}
	drawn := rng.IntN(total)
	for _, choice := range actionWeights {
		if drawn -= choice.weight; drawn < 0 {
			return choice.action
		}
	}
	return Reload
}
