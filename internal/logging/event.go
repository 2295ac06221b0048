// Package event writes the numbered events that docs/events.md lists.
package logging

import (
	"os"
	"time"

	"github.com/rs/zerolog"
)

// EventNumber identifies an event for good.
type EventNumber int

// 1xx: life of a process; 2xx: cells and disk; 3xx: configuration and feed;
// 4xx: nodes and leases; 5xx: leafs; 6xx: requests; 7xx: content.
const (
	Started                 EventNumber = 101
	Stopping                EventNumber = 102
	Stopped                 EventNumber = 103
	SettingsReloaded        EventNumber = 104
	SettingsRejected        EventNumber = 105
	Failed                  EventNumber = 107
	ReplicaRoleChanged      EventNumber = 201
	DiskFault               EventNumber = 202
	DiskEmpty               EventNumber = 203
	StorageCorrupt          EventNumber = 204
	VotersChanged           EventNumber = 205
	ReplicaOpened           EventNumber = 206
	ReplicaCorrupt          EventNumber = 207
	ConfigCommitted         EventNumber = 301
	ConfigRejected          EventNumber = 302
	ConfigApplied           EventNumber = 303
	ControlPlaneLost        EventNumber = 304
	ControlPlaneConnected   EventNumber = 305
	PurgeCommitted          EventNumber = 306
	PurgeRejected           EventNumber = 307
	IdempotencyConflict     EventNumber = 308
	NotificationRetry       EventNumber = 309
	NotificationQuarantined EventNumber = 310
	NotificationRedriven    EventNumber = 311
	NotificationDropped     EventNumber = 312
	NodeDown                EventNumber = 402
	LeaseAcquired           EventNumber = 403
	LeaseReleased           EventNumber = 404
	QuotaShareChanged       EventNumber = 405
	UsageReportAccepted     EventNumber = 406
	UsageReportFailed       EventNumber = 407
	UnknownDuty             EventNumber = 408
	EstimateExportFailed    EventNumber = 409
	EndpointEjected         EventNumber = 501
	EndpointRestored        EventNumber = 502
	EndpointListChanged     EventNumber = 503
	EndpointListFailed      EventNumber = 504
	EndpointSurplusData     EventNumber = 505
	RequestPanic            EventNumber = 601
	DiskCacheOpened         EventNumber = 701
	DiskCacheDropped        EventNumber = 702
	RateShareChanged        EventNumber = 703
	OriginRateExceeded      EventNumber = 704
	OriginReadStatistics    EventNumber = 705
)

// Logger writes events of one process.
type Logger struct{ logger zerolog.Logger }

// New makes a log on standard error.
func New(node, program string) *Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	zerolog.DurationFieldInteger = true
	return &Logger{logger: zerolog.New(os.Stderr).With().Timestamp().Str("node", node).Str("program", program).Logger()}
}

// Nop returns a log that writes nothing.
func Nop() *Logger { return &Logger{logger: zerolog.Nop()} }

// SetLevel sets the least level that is written; "" means info.
func (l *Logger) SetLevel(name string) {
	lv, err := zerolog.ParseLevel(name)
	if err != nil || name == "" {
		lv = zerolog.InfoLevel
	}
	zerolog.SetGlobalLevel(lv)
}

// Info notes something that an operator may want to know.
func (l *Logger) Info(n EventNumber) *zerolog.Event { return l.logger.Info().Int("event", int(n)) }

// Warn notes something that an operator should look at.
func (l *Logger) Warn(n EventNumber) *zerolog.Event { return l.logger.Warn().Int("event", int(n)) }

// Error notes something that keeps the process from its work.
func (l *Logger) Error(n EventNumber) *zerolog.Event { return l.logger.Error().Int("event", int(n)) }

// Debug notes detail.
func (l *Logger) Debug(n EventNumber) *zerolog.Event { return l.logger.Debug().Int("event", int(n)) }
