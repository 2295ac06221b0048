package main

import (
	"errors"

	"comethold/internal/proxy"
	"comethold/internal/rpc"
	"comethold/internal/settings"

	"github.com/spf13/cobra"
)

const dataPlaneName = "data-plane"

func newDataPlaneCommand() *cobra.Command {
	return &cobra.Command{
		Use:     dataPlaneName,
		Short:   "Run the data plane of this node",
		Long:    "Run the data plane. The settings file is the one that " + settings.Env + " names.",
		Example: "  " + settings.Env + "=/etc/comethold/local.toml comethold data-plane",
		Args:    usageArgs(cobra.NoArgs),
		RunE: func(*cobra.Command, []string) error {
			return runProgram(dataPlaneName, setUpDataPlane)
		},
	}
}

// setUpDataPlane opens the sockets of a proxy and adds its goroutines.
func setUpDataPlane(p *process) error {
	listen := p.settings.Listen
	if listen.Frontend == "" || listen.Readiness == "" {
		return errors.New("settings: the data plane needs listenAddresses.frontend and listenAddresses.readiness")
	}
	server := proxy.New(p.settings, p.log, rpc.TCPNetwork)
	clients, err := p.listen(listen.Frontend)
	if err != nil {
		return err
	}
	datagrams, err := p.listenPacket(server.InternalAddress())
	if err != nil {
		return err
	}
	shutdown := func(error) { server.Shutdown() }
	p.group.Add(func() error { return server.Serve(clients) }, shutdown)
	p.group.Add(server.RunUpdates, shutdown)
	p.group.Add(server.RunMaintenance, shutdown)
	p.group.Add(server.ReportUsage, shutdown)
	p.group.Add(server.CollectLatencies, shutdown)
	p.group.Add(func() error { return server.RunHeartbeats(datagrams) }, shutdown)
	if err := p.addServer(listen.Readiness, server.Readiness()); err != nil {
		return err
	}
	if err := p.addServer(server.InternalAddress(), server.InternalHandler()); err != nil {
		return err
	}
	p.addSignalHandling(server.Reload, server.Shutdown)
	return nil
}
