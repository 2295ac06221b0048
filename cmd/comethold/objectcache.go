package main

import (
	"comethold/internal/logging"
	"comethold/internal/objectcache"
	"comethold/internal/process"
	"comethold/internal/rpc"
	"comethold/internal/settings"

	"github.com/spf13/cobra"
)

const objectCacheName = "object-cache"

func newObjectCacheCommand() *cobra.Command {
	return &cobra.Command{
		Use:   objectCacheName,
		Short: "Run the shared object cache of this node",
		Long: "Run the shared object cache of a content deployment. The settings file is the\n" +
			"one that " + settings.PathEnv + " names.",
		Example: "  " + settings.PathEnv + "=/etc/comethold/local.toml comethold object-cache",
		Args:    usageArgs(cobra.NoArgs),
		RunE: func(*cobra.Command, []string) error {
			return runProgram(objectCacheName, setUpObjectCache)
		},
	}
}

// setUpObjectCache opens the sockets of a cache node and adds its members. If the data directory cannot be created, the
// objects are kept in memory only.
func setUpObjectCache(p *process.Process) error {
	if err := p.MakeDataDirectory(); err != nil {
		p.Log.Warn(logging.DiskCacheDropped).Err(err).Msg("data directory cannot be created; objects are kept in memory only")
	}
	server := objectcache.New(p.Settings, p.Log, rpc.TCPNetwork)
	datagrams, err := p.ListenPacket(server.InternalAddress())
	if err != nil {
		return err
	}
	p.Add("updates", server.RunUpdates, server.Shutdown)
	p.Add("share renewal", server.RunShareRenewal, server.Shutdown)
	p.Add("statistics", server.RunStatistics, server.Shutdown)
	p.Add("heartbeats", func() error { return server.RunHeartbeats(datagrams) }, server.Shutdown)
	if err := p.AddServer("internal API", server.InternalAddress(), server.InternalHandler()); err != nil {
		return err
	}
	p.OnReload(server.Reload)
	return nil
}
