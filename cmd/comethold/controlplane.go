package main

import (
	"errors"

	"comethold/internal/controlplane"
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
		Long: "Run the control plane. The settings file is the one that " + settings.Env + " names;\n" +
			"it must name a data directory.",
		Example: "  " + settings.Env + "=examples/settings.toml comethold control-plane",
		Args:    usageArgs(cobra.NoArgs),
		RunE: func(*cobra.Command, []string) error {
			return runProgram(controlPlaneName, setUpControlPlane)
		},
	}
}

// setUpControlPlane opens the sockets of a control node and adds its goroutines.
func setUpControlPlane(p *process) error {
	if p.settings.Listen.ControlPlane == "" || p.settings.DataDirectory == "" {
		return errors.New("settings: the control plane needs listenAddresses.controlPlane and dataDirectory")
	}
	server := controlplane.New(p.settings, p.log, rpc.TCPNetwork, storage.LocalDisk{})
	stop := func(error) { server.Stop() }
	p.group.Add(server.Run, stop)
	internal := controlplane.InternalAddress(p.settings)
	datagrams, err := p.listenPacket(internal)
	if err != nil {
		return err
	}
	p.group.Add(func() error { return server.ServeDatagrams(datagrams) }, stop)
	if err := p.addServer(p.settings.Listen.ControlPlane, server.OperatorHandler()); err != nil {
		return err
	}
	if err := p.addServer(internal, server.InternalHandler()); err != nil {
		return err
	}
	p.addSignalHandling(server.Reload, func() {})
	return nil
}
