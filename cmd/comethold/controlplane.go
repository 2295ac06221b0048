package main

import (
	"errors"

	"comethold/internal/controlplane"
	"comethold/internal/process"
	"comethold/internal/rpc"
	"comethold/internal/settings"
	"comethold/internal/storage"

	"github.com/spf13/cobra"
)

const controlPlaneName = "control-plane"

func newControlPlaneCommand() *cobra.Command {
	return &cobra.Command{
		Use:   controlPlaneName,
		Short: "Run the control plane of this node",
		Long: "Run the control plane. The settings file is the one that " + settings.PathEnv + " names;\n" +
			"it must name a data directory.",
		Example: "  " + settings.PathEnv + "=examples/settings.toml comethold control-plane",
		Args:    usageArgs(cobra.NoArgs),
		RunE: func(*cobra.Command, []string) error {
			return runProgram(controlPlaneName, setUpControlPlane)
		},
	}
}

// setUpControlPlane opens the sockets of a control node, adds its members and creates its data directory.
func setUpControlPlane(p *process.Process) error {
	listen := p.Settings.Listen
	if listen.ControlPlane == "" || p.Settings.DataDirectory == "" {
		return errors.New("settings: the control plane needs listenAddresses.controlPlane and dataDirectory")
	}
	server := controlplane.New(p.Settings, p.Log, rpc.TCPNetwork, storage.LocalDisk{})
	p.Add("control plane", server.Run, server.Stop)
	internal := controlplane.InternalAddress(p.Settings)
	datagrams, err := p.ListenPacket(internal)
	if err != nil {
		return err
	}
	p.Add("datagrams", func() error { return server.ServeDatagrams(datagrams) }, server.Stop)
	if err := p.AddServer("operator API", listen.ControlPlane, server.OperatorHandler()); err != nil {
		return err
	}
	if err := p.AddServer("internal API", internal, server.InternalHandler()); err != nil {
		return err
	}
	p.OnReload(server.Reload)
	return p.MakeDataDirectory()
}
