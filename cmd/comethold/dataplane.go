package main

import (
	"errors"

	"comethold/internal/process"
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
		Long:    "Run the data plane. The settings file is the one that " + settings.PathEnv + " names.",
		Example: "  " + settings.PathEnv + "=/etc/comethold/local.toml comethold data-plane",
		Args:    usageArgs(cobra.NoArgs),
		RunE: func(*cobra.Command, []string) error {
			return runProgram(dataPlaneName, setUpDataPlane)
		},
	}
}

// setUpDataPlane opens the sockets of a proxy and adds its members.
func setUpDataPlane(p *process.Process) error {
	listen := p.Settings.Listen
	if listen.Frontend == "" || listen.Readiness == "" {
		return errors.New("settings: the data plane needs listenAddresses.frontend and listenAddresses.readiness")
	}
	server := proxy.New(p.Settings, p.Log, rpc.TCPNetwork)
	clients, err := p.Listen(listen.Frontend)
	if err != nil {
		return err
	}
	datagrams, err := p.ListenPacket(server.InternalAddress())
	if err != nil {
		return err
	}
	p.Add("clients", func() error { return server.Serve(clients) }, server.Shutdown)
	p.Add("updates", server.RunUpdates, server.Shutdown)
	p.Add("maintenance", server.RunMaintenance, server.Shutdown)
	p.Add("usage", server.ReportUsage, server.Shutdown)
	p.Add("latencies", server.CollectLatencies, server.Shutdown)
	p.Add("heartbeats", func() error { return server.RunHeartbeats(datagrams) }, server.Shutdown)
	if err := p.AddServer("readiness", listen.Readiness, server.Readiness()); err != nil {
		return err
	}
	if err := p.AddServer("internal API", server.InternalAddress(), server.InternalHandler()); err != nil {
		return err
	}
	p.OnReload(server.Reload)
	p.OnShutdown(server.Shutdown)
	return nil
}
