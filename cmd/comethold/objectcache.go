package main

import (
	"comethold/internal/objectcache"
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
			"one that " + settings.Env + " names.",
		Example: "  " + settings.Env + "=/etc/comethold/local.toml comethold object-cache",
		Args:    usageArgs(cobra.NoArgs),
		RunE: func(*cobra.Command, []string) error {
			return runProgram(objectCacheName, setUpObjectCache)
		},
	}
}

// setUpObjectCache opens the sockets of a cache node and adds its goroutines.
func setUpObjectCache(p *process) error {
	server := objectcache.New(p.settings, p.log, rpc.TCPNetwork)
	datagrams, err := p.listenPacket(server.InternalAddress())
	if err != nil {
		return err
	}
	shutdown := func(error) { server.Shutdown() }
	p.group.Add(server.RunUpdates, shutdown)
	p.group.Add(server.RunShareRenewal, shutdown)
	p.group.Add(server.RunStatistics, shutdown)
	p.group.Add(func() error { return server.RunHeartbeats(datagrams) }, shutdown)
	if err := p.addServer(server.InternalAddress(), server.InternalHandler()); err != nil {
		return err
	}
	p.addSignalHandling(server.Reload, func() {})
	return nil
}
