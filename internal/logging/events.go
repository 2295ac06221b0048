package logging

// EventNumber identifies a kind of event. Numbers never change and are never reused, since operators match on them.
type EventNumber int

// 1xx: start and end of a process, settings.
const (
	Started          EventNumber = 101
	Stopping         EventNumber = 102
	Stopped          EventNumber = 103
	SettingsReloaded EventNumber = 104
	SettingsRejected EventNumber = 105
	Failed           EventNumber = 107
	StartDelayed     EventNumber = 108
	StartResumed     EventNumber = 109
	InService        EventNumber = 110
	LinesLost        EventNumber = 111
	LibraryMessage   EventNumber = 112
	MemoryNearLimit  EventNumber = 113
	AcceptFailed     EventNumber = 114
	AcceptRecovered  EventNumber = 115
	StopTimedOut     EventNumber = 116
)

// 2xx: replicas and their storage.
const (
	ReplicaRoleChanged EventNumber = 201
	DiskFault          EventNumber = 202
	DiskEmpty          EventNumber = 203
	StorageCorrupt     EventNumber = 204
	VotersChanged      EventNumber = 205
	ReplicaOpened      EventNumber = 206
	ReplicaCorrupt     EventNumber = 207
)

// 3xx: configurations, purges and their distribution.
const (
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
)

// 4xx: nodes, leases and singleton roles.
const (
	NodeDown             EventNumber = 402
	LeaseAcquired        EventNumber = 403
	LeaseReleased        EventNumber = 404
	QuotaShareChanged    EventNumber = 405
	UsageReportAccepted  EventNumber = 406
	UsageReportFailed    EventNumber = 407
	UnknownSingletonRole EventNumber = 408
	EstimateExportFailed EventNumber = 409
)

// 5xx: endpoints.
const (
	EndpointEjected         EventNumber = 501
	EndpointReinstated      EventNumber = 502
	EndpointListChanged     EventNumber = 503
	EndpointListFailed      EventNumber = 504
	EndpointUnexpectedBytes EventNumber = 505
)

// 6xx: requests.
const (
	RequestPanic EventNumber = 601
)

// 7xx: the object cache.
const (
	DiskCacheOpened      EventNumber = 701
	DiskCacheDropped     EventNumber = 702
	RateShareChanged     EventNumber = 703
	OriginRateExceeded   EventNumber = 704
	OriginReadStatistics EventNumber = 705
)
