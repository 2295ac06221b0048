package objectcache

import (
	"time"

	"comethold/internal/controlclient"
	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/objectcache/diskstore"
	"comethold/internal/ratelimit"
	"comethold/internal/responsecache"
	"comethold/internal/rpc"
	"comethold/internal/settings"
	"comethold/internal/storage"

	"github.com/labstack/echo/v4"
)

const (
	statisticsInterval = 5 * time.Second
	// refreshFraction is the fraction of the TTL after which a request for an object starts a
	// refresh in the background.
	refreshFraction = 0.8
	// cacheMemoryFraction is the fraction of the process's memory that objects may use.
	cacheMemoryFraction = 0.45
	defaultCacheBytes   = 64 << 20
	// slotOvercommit is the number of reads that may be in flight for each slot of an endpoint,
	// over all servers.
	slotOvercommit = 1.6
)

// Server is a cache node. A program creates it with New, runs RunUpdates and RunHeartbeats of the
// embedded client, runs RunShareRenewal and RunStatistics, and serves InternalHandler. Shutdown
// ends the Run methods.
type Server struct {
	*controlclient.Client

	servers    *serverClient
	fetcher    *Fetcher
	limiter    *ratelimit.Limiter
	scheduler  *readScheduler
	latency    *latencyTracker
	statistics *originStatistics
	store      *diskstore.Store // nil without a data directory
	rpcClient  *rpc.Client
}

// New returns a server. If the settings name a data directory, it loads the objects stored there.
func New(set *settings.Settings, log *logging.Logger, network rpc.Network) *Server {
	control := controlclient.New(controlclient.Options{
		Settings: set,
		Log:      log,
		Program:  settings.ObjectCache,
		Network:  network,
	})
	limiter := ratelimit.New()
	s := &Server{
		Client:     control,
		servers:    newServerClient(control),
		limiter:    limiter,
		scheduler:  newReadScheduler(limiter, control.Upstreams),
		latency:    newLatencyTracker(),
		statistics: &originStatistics{},
		rpcClient:  rpc.NewClient(network),
	}
	control.Upstreams.SetSlotOvercommit(slotOvercommit)
	cache := responsecache.New(cacheBytes(set.Limits.MemoryMb))
	options := FetcherOptions{StaleSlack: set.Bounds.StaleSlack(), RefreshFraction: refreshFraction}
	if set.DataDirectory != "" {
		s.store = s.openStore(cache)
		options.OnCached = s.store.Put
	}
	s.fetcher = NewFetcher(cache, control, s.fetchObject, options)
	control.OnPurges(s.applyPurges)
	return s
}

// cacheBytes returns the size of the in-memory cache of a process with memoryMb MiB of memory.
// If memoryMb is 0, the memory is unknown and the size is defaultCacheBytes.
func cacheBytes(memoryMb int64) int {
	if memoryMb <= 0 {
		return defaultCacheBytes
	}
	return int(cacheMemoryFraction * float64(memoryMb<<20))
}

// openStore opens the store on disk and loads its objects into the cache.
func (s *Server) openStore(cache *responsecache.Cache) *diskstore.Store {
	store, purgeIndex := diskstore.Open(diskstore.Options{
		Directory: s.Settings.DataDirectory,
		DiskMb:    s.Settings.Limits.DiskMb,
		Disk:      storage.LocalDisk{},
		Log:       s.Log,
	})
	store.Load(cache.Put)
	s.SetInitialPurgeIndex(purgeIndex)
	s.Log.Info(logging.DiskCacheOpened).
		Int("objects", cache.Len()).
		Uint64("purgeIndex", purgeIndex).
		Msg("objects loaded from disk")
	return store
}

func (s *Server) applyPurges(u *distribution.PurgeUpdate) {
	s.fetcher.ApplyPurges(u)
	if s.store != nil {
		s.store.ApplyPurges(u)
	}
}

// InternalHandler returns the internal API for other nodes.
func (s *Server) InternalHandler() *echo.Echo {
	e := s.Client.InternalHandler()
	e.POST(objectPath, s.handleObject)
	e.POST(permitPath, s.handlePermit)
	return e
}

// RunStatistics logs statistics of origin reads every statisticsInterval until the server is
// closed. It logs nothing for intervals without reads.
func (s *Server) RunStatistics() error {
	ticker := time.NewTicker(statisticsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-s.Done():
			return nil
		}
		counts := s.statistics.take()
		if counts.empty() {
			continue
		}
		s.Log.Info(logging.OriginReadStatistics).
			Int("reads", counts.reads).
			Int("revalidated", counts.revalidated).
			Int("rejected", counts.rejected).
			Dur("readMs", meanOf(counts.readTime, counts.reads)).
			Dur("revalidateMs", meanOf(counts.revalidateTime, counts.revalidated)).
			Dur("waitMs", meanOf(counts.waitTime, counts.reads+counts.revalidated)).
			Msg("statistics of origin reads")
	}
}

// Shutdown closes the server and its store on disk.
func (s *Server) Shutdown() {
	s.Close()
	if s.store != nil {
		s.store.Close()
	}
}
