package soak

import (
	"math/rand/v2"
	"time"
)

// Action is what an event does to a process.
type Action string

// The actions.
const (
	Reload              Action = "reload"        // SIGHUP with changed settings, several in a row
	Terminate           Action = "terminate"     // SIGTERM; the process is started again when it has ended
	Kill                Action = "kill"          // SIGKILL; the same
	KillAtStart         Action = "kill-at-start" // SIGKILL, and again while the process starts
	SignalsAtStart      Action = "signals-at-start"
	Suspend             Action = "suspend"           // SIGSTOP, and SIGCONT after a while
	ReloadThenTerminate Action = "reload-terminate"  // a series of SIGHUP, then SIGTERM
	TerminateSuspended  Action = "suspend-terminate" // SIGTERM while the process is suspended
	HoldPort            Action = "hold-port"         // SIGKILL, and the port is taken for a while
	KillControlNodes    Action = "kill-control"      // all control nodes are killed at once
)

// actionWeights says how often each action is drawn.
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
	At       time.Duration `json:"at"` // nanoseconds after the start of the disruptions
	Unit     int           `json:"unit"`
	Action   Action        `json:"action"`
	Count    int           `json:"count"` // signals in a series
	Duration time.Duration `json:"for"`   // how long a suspension, or the hold of a port, lasts
	Interval time.Duration `json:"gap"`   // between the signals of a series
}

// Plan is a run: the disruptions in their order.
type Plan struct {
	Seed     uint64        `json:"seed"`
	Duration time.Duration `json:"duration"` // of the disruptions
	Size     Size          `json:"size"`
	Events   []Event       `json:"events"`
	// RaceBuilt says that the programs are built with the race detector, which takes memory of its own.
	RaceBuilt bool `json:"raceBuilt"`
}

// Size says how many processes a run has.
type Size struct {
	ControlNodes int `json:"controlNodes"`
	Proxies      int `json:"proxies"`
	ObjectCaches int `json:"objectCaches"`
	Clients      int `json:"clients"`
}

func (s Size) units() int { return s.ControlNodes + s.Proxies + s.ObjectCaches }

// Bounds of what is drawn.
const (
	minEventGap     = 30 * time.Millisecond
	meanEventGap    = 400 * time.Millisecond
	maxSeriesLength = 12
	maxSuspension   = 1500 * time.Millisecond
	maxSignalGap    = 40 * time.Millisecond
)

// GeneratePlan draws the plan of a seed.
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
