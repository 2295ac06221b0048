package simulation_test

import (
	"comethold/internal/simulation"
)

// fleetCommands are the commands of fleet scenarios; docs/testing.md explains them.
var fleetCommands = simulation.CommandTable[*fleet]{
	// The machines.
	"losses":      (*fleet).setMachineLosses,
	"core":        (*fleet).addControlNodes,
	"proxies":     (*fleet).addProxies,
	"add":         (*fleet).addControlNode,
	"begin":       (*fleet).begin,
	"run":         (*fleet).advanceTime,
	"seeds":       (*fleet).changeSeeds,
	"name":        (*fleet).nameMachine,
	"make-leader": (*fleet).makeLeader,

	// Faults of machines and disks.
	"kill":               (*fleet).killCommand,
	"start":              (*fleet).startCommand,
	"restart-in-turn":    (*fleet).restartInTurn,
	"lose-disk":          (*fleet).loseDiskCommand,
	"lose-disks-of-dead": (*fleet).loseDisksOfStopped,
	"disk":               (*fleet).setDiskFault,
	"lose-power":         (*fleet).losePower,
	"damage-file":        (*fleet).damageFile,
	"kill-lease-holder":  (*fleet).killLeaseHolders,
	"kill-reporter":      (*fleet).killReporter,

	// Faults of the network.
	"cut":               (*fleet).cutBothWays,
	"cut-outgoing":      (*fleet).cutOutgoing,
	"cut-incoming":      (*fleet).cutIncoming,
	"isolate":           (*fleet).isolate,
	"cut-from-platform": (*fleet).cutFromPlatform,
	"cut-lease-holder":  (*fleet).cutLeaseHolders,
	"cut-reporter":      (*fleet).cutReporter,
	"heal":              (*fleet).heal,
	"packet-loss":       (*fleet).setPacketLoss,
	"slow":              (*fleet).slowLinks,
	"reset":             (*fleet).resetConnections,
	"lose-answers":      (*fleet).loseAnswers,

	// The platform's list and the ejection marks.
	"list":             (*fleet).listLeafs,
	"drain":            (*fleet).drainLeafs,
	"unlist":           (*fleet).unlistLeafs,
	"list-many":        (*fleet).listManyLeafs,
	"report-unhealthy": (*fleet).reportUnhealthy,
	"report-healthy":   (*fleet).reportHealthy,
	"want-marks":       (*fleet).wantMarks,
	"want-list":        (*fleet).wantList,

	// Configuration changes.
	"routes":          (*fleet).setExtraRoutes,
	"indexes":         (*fleet).setExtraIndexes,
	"replace":         (*fleet).replace,
	"replace-series":  (*fleet).replaceSeries,
	"replace-in-turn": (*fleet).replaceInTurn,
	"replace-again":   (*fleet).replaceAgain,
	"race":            (*fleet).race,
	"operators":       (*fleet).runOperators,
	"send-garbage":    (*fleet).sendMalformedMessages,
	"want":            (*fleet).wantStatuses,
	"want-config":     (*fleet).wantConfig,
	"want-read":       (*fleet).wantRead,
	"want-order":      (*fleet).wantReplaceAccepted,
	"want-unclear":    (*fleet).wantIndeterminate,

	// The replicated state and the outbox.
	"want-all-voters": (*fleet).wantAllVoters,
	"want-state":      (*fleet).wantStateSize,
	"want-applied":    (*fleet).wantApplied,
	"want-backlog":    (*fleet).wantBacklog,
	"want-quarantine": (*fleet).wantQuarantine,
	"redrive":         (*fleet).redrive,

	// Tenants, quotas and usage reports.
	"tenant":                (*fleet).setTenant,
	"load":                  (*fleet).load,
	"start-load":            (*fleet).startLoad,
	"end-loads":             (*fleet).endLoads,
	"await-window":          (*fleet).awaitWindow,
	"usage-reports":         (*fleet).enableUsageReports,
	"platform":              (*fleet).setPlatformFault,
	"want-served":           (*fleet).wantServed,
	"want-reported-in-time": (*fleet).wantReportedInTime,
	"want-reports":          (*fleet).wantReports,
	"want-usage":            (*fleet).wantUsage,

	// Latency estimates.
	"estimates":      (*fleet).enableEstimates,
	"want-estimates": (*fleet).wantEstimates,
	"want-saved":     (*fleet).wantSavedEstimates,
}

// Do runs a command.
func (f *fleet) Do(c simulation.Command) error { return fleetCommands.Do(f, c) }
