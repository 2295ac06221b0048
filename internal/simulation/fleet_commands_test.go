package simulation_test

import (
	"comethold/internal/simulation"
)

// fleetCommands are the commands of fleet scenarios; docs/testing.md explains them.
var fleetCommands = simulation.CommandTable[*fleet]{
	// The machines.
	"losses":   (*fleet).setMachineLosses,
	"core":     (*fleet).addControlNodes,
	"switches": (*fleet).addProxies,
	"add":      (*fleet).addControlNode,
	"begin":    (*fleet).begin,
	"run":      (*fleet).letTimePass,
	"seeds":    (*fleet).changeSeeds,
	"let":      (*fleet).nameMachine,
	"lead":     (*fleet).haveLead,

	// Faults of machines and disks.
	"kill":        (*fleet).killCommand,
	"start":       (*fleet).startCommand,
	"roll":        (*fleet).roll,
	"wipe":        (*fleet).wipeCommand,
	"wipe-dead":   (*fleet).wipeDead,
	"disk":        (*fleet).setDiskFault,
	"power":       (*fleet).losePower,
	"tear":        (*fleet).tear,
	"kill-duty":   (*fleet).killLeaseHolders,
	"kill-holder": (*fleet).killReporter,

	// Faults of the network.
	"cut":         (*fleet).cutBothWays,
	"mute":        (*fleet).cutOutgoing,
	"deaf":        (*fleet).cutIncoming,
	"silence":     (*fleet).silence,
	"no-platform": (*fleet).cutFromPlatform,
	"cut-duty":    (*fleet).cutLeaseHolders,
	"cut-holder":  (*fleet).cutReporter,
	"join":        (*fleet).join,
	"lossy":       (*fleet).setLossRate,
	"slow":        (*fleet).slowLinks,
	"reset":       (*fleet).resetConnections,
	"lose":        (*fleet).loseAnswers,

	// The platform's list and the marks.
	"list":       (*fleet).listLeafs,
	"drain":      (*fleet).drainLeafs,
	"unlist":     (*fleet).unlistLeafs,
	"many":       (*fleet).listManyLeafs,
	"bad":        (*fleet).reportUnhealthy,
	"well":       (*fleet).reportHealthy,
	"want-marks": (*fleet).wantMarks,
	"want-list":  (*fleet).wantList,

	// Orders and configurations.
	"routes":       (*fleet).setExtraRoutes,
	"indexes":      (*fleet).setExtraIndexes,
	"replace":      (*fleet).replace,
	"changes":      (*fleet).replaceSeries,
	"series":       (*fleet).replaceInTurn,
	"again":        (*fleet).replaceAgain,
	"race":         (*fleet).race,
	"operators":    (*fleet).runOperators,
	"garble":       (*fleet).garble,
	"want":         (*fleet).wantStatuses,
	"want-config":  (*fleet).wantConfig,
	"want-read":    (*fleet).wantRead,
	"want-order":   (*fleet).wantOrder,
	"want-unclear": (*fleet).wantUnclear,

	// The replicated state and the outbox.
	"want-whole":      (*fleet).wantWhole,
	"want-state":      (*fleet).wantState,
	"want-applied":    (*fleet).wantApplied,
	"want-backlog":    (*fleet).wantBacklog,
	"want-quarantine": (*fleet).wantQuarantine,
	"redrive":         (*fleet).redrive,

	// Tenants, quotas, usage reports.
	"tenant":       (*fleet).setTenant,
	"load":         (*fleet).load,
	"load-on":      (*fleet).startLoad,
	"load-end":     (*fleet).endLoads,
	"window":       (*fleet).awaitWindow,
	"duties":       (*fleet).enableUsageReports,
	"platform":     (*fleet).setPlatformFault,
	"want-served":  (*fleet).wantServed,
	"want-timely":  (*fleet).wantTimely,
	"want-reports": (*fleet).wantReports,
	"want-usage":   (*fleet).wantUsage,

	// Estimates.
	"estimates":      (*fleet).enableEstimates,
	"want-estimates": (*fleet).wantEstimates,
	"want-saved":     (*fleet).wantSaved,
}

// Do carries out a command.
func (f *fleet) Do(c simulation.Command) error { return fleetCommands.Do(f, c) }
