// Package event writes the numbered events that docs/events.md lists.
package event

import (
	"os"
	"time"

	"github.com/rs/zerolog"
)

// Number identifies an event for good.
type Number int

// 1xx: life of a process; 2xx: cells and disk; 3xx: configuration and feed;
// 4xx: nodes and leases; 5xx: leafs; 6xx: requests; 7xx: content.
const (
	Started           Number = 101
	Stopping          Number = 102
	Stopped           Number = 103
	SettingsReloaded  Number = 104
	SettingsRefused   Number = 105
	Failed            Number = 107
	RoleChanged       Number = 201
	DiskRefused       Number = 202
	DiskEmpty         Number = 203
	DiskDamaged       Number = 204
	SeatsChanged      Number = 205
	CellOpened        Number = 206
	CellDamaged       Number = 207
	ConfigTaken       Number = 301
	ConfigRefused     Number = 302
	ConfigInForce     Number = 303
	FeedLost          Number = 304
	FeedFound         Number = 305
	PurgeTaken        Number = 306
	PurgeRefused      Number = 307
	OrderConflict     Number = 308
	NoticeRetry       Number = 309
	NoticeQuarantined Number = 310
	NoticeRedriven    Number = 311
	NoticeDropped     Number = 312
	NodeDown          Number = 402
	DutyTaken         Number = 403
	DutyLost          Number = 404
	QuotaShare        Number = 405
	ReportSent        Number = 406
	ReportFailed      Number = 407
	DutyUnknown       Number = 408
	ExportFailed      Number = 409
	LeafMarked        Number = 501
	LeafCleared       Number = 502
	ListChanged       Number = 503
	ListFailed        Number = 504
	LeafSurplus       Number = 505
	RequestPanic      Number = 601
	ShelfOpened       Number = 701
	ShelfDropped      Number = 702
	ShareMoved        Number = 703
	RateMet           Number = 704
	ReadsTold         Number = 705
)

// Log writes events of one process.
type Log struct{ z zerolog.Logger }

// New makes a log on standard error.
func New(node, program string) *Log {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	zerolog.DurationFieldInteger = true
	return &Log{z: zerolog.New(os.Stderr).With().Timestamp().Str("node", node).Str("program", program).Logger()}
}

// Nop returns a log that writes nothing.
func Nop() *Log { return &Log{z: zerolog.Nop()} }

// SetLevel sets the least level that is written; "" means info.
func (l *Log) SetLevel(name string) {
	lv, err := zerolog.ParseLevel(name)
	if err != nil || name == "" {
		lv = zerolog.InfoLevel
	}
	zerolog.SetGlobalLevel(lv)
}

// Info notes something that an operator may want to know.
func (l *Log) Info(n Number) *zerolog.Event { return l.z.Info().Int("event", int(n)) }

// Warn notes something that an operator should look at.
func (l *Log) Warn(n Number) *zerolog.Event { return l.z.Warn().Int("event", int(n)) }

// Error notes something that keeps the process from its work.
func (l *Log) Error(n Number) *zerolog.Event { return l.z.Error().Int("event", int(n)) }

// Debug notes detail.
func (l *Log) Debug(n Number) *zerolog.Event { return l.z.Debug().Int("event", int(n)) }
