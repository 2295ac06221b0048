package loadtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"comethold/internal/logging"
	"comethold/internal/proxy"
	"comethold/internal/testbed"
)

const (
	firstBasePort   = 20000
	basePortChoices = 20
	portsPerCluster = 500
	maxSeeds        = 3
	waitPollPause   = 5 * time.Millisecond
)

// Program names, as passed to the binary.
const (
	controlPlaneProgram = "control-plane"
	dataPlaneProgram    = "data-plane"
)

// Cluster is the system under test. It is not safe for concurrent use.
type Cluster struct {
	size        Size
	dir         string
	binary      string
	basePort    int
	seedNodes   []string
	processes   []*testbed.Process // control nodes first, then real proxies
	platform    testbed.Platform
	hollowNodes []*hollowNode
	servers     testbed.Servers
	running     sync.WaitGroup // goroutines of hollow nodes
	version     uint64         // of the newest configuration
}

// hollowNode is a proxy that sends no requests to leafs.
type hollowNode struct {
	proxy *proxy.Server
	meter byteMeter
}

// New returns a cluster that runs the programs of binary and keeps its data below dir; nothing is
// started yet. The ports are random, so that two runs on one machine rarely conflict.
func New(size Size, binary, dir string) *Cluster {
	basePort := firstBasePort + rand.IntN(basePortChoices)*portsPerCluster
	return &Cluster{size: size, binary: binary, dir: dir, basePort: basePort}
}

// Close stops all nodes, servers and processes, and waits for them.
func (c *Cluster) Close() {
	for _, node := range c.hollowNodes {
		node.proxy.Close()
	}
	c.servers.Close()
	for _, process := range c.processes {
		process.Kill()
	}
	c.running.Wait()
}

// startProcess starts a program of the binary as the node of a machine, limited to one processor.
func (c *Cluster) startProcess(ctx context.Context, program string, m machine) error {
	process, err := testbed.Start(ctx, testbed.Command{
		Binary:       c.binary,
		Program:      program,
		Settings:     c.settingsOf(m),
		SettingsFile: filepath.Join(c.dir, m.name+".toml"),
		Environment:  []string{"GOMAXPROCS=1"},
		Log:          os.Stderr,
	})
	if err != nil {
		return err
	}
	c.processes = append(c.processes, process)
	return nil
}

// startControlNodes starts the control nodes; the first three are the seeds of all machines.
func (c *Cluster) startControlNodes(ctx context.Context, count int) error {
	for i := range min(maxSeeds, count) {
		c.seedNodes = append(c.seedNodes, c.address(controlNodeIP(i), controlPort))
	}
	for i := range count {
		node := machine{
			name: fmt.Sprint("control-", i), ip: controlNodeIP(i), zone: zoneName(i, c.size.Zones), hasDataDirectory: true,
		}
		if err := c.startProcess(ctx, controlPlaneProgram, node); err != nil {
			return err
		}
	}
	return nil
}

// startRealProxies starts the proxies that are processes.
func (c *Cluster) startRealProxies(ctx context.Context, count int) error {
	for i := range count {
		node := machine{name: fmt.Sprint("real-", i), ip: realProxyIP(i), zone: zoneName(i, c.size.Zones)}
		if err := c.startProcess(ctx, dataPlaneProgram, node); err != nil {
			return err
		}
	}
	return nil
}

func controlNodeIP(i int) string { return fmt.Sprintf("127.1.0.%d", i+1) }

func realProxyIP(i int) string { return fmt.Sprintf("127.2.0.%d", i+1) }

// startHollowNodes starts the hollow nodes in this process.
func (c *Cluster) startHollowNodes(ctx context.Context) error {
	for i := range c.size.Hollow {
		node := machine{
			name: fmt.Sprint("hollow-", i), ip: hostAddress("127.3", i), zone: zoneName(i, c.size.Zones),
		}
		if err := c.startHollowNode(ctx, node); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) startHollowNode(ctx context.Context, m machine) error {
	node := &hollowNode{}
	node.proxy = proxy.New(c.settingsOf(m), logging.Nop(), node.meter.network)
	var config net.ListenConfig
	datagrams, err := config.ListenPacket(ctx, "udp4", node.proxy.InternalAddress())
	if err != nil {
		return err
	}
	if err := c.servers.Listen(ctx, node.proxy.InternalAddress(), node.proxy.InternalHandler()); err != nil {
		return err
	}
	c.running.Go(func() { _ = node.proxy.RunUpdates() }) // Close ends both goroutines
	c.running.Go(func() { _ = node.proxy.RunHeartbeats(meteredPacketConn{datagrams, &node.meter}) })
	c.hollowNodes = append(c.hollowNodes, node)
	return nil
}

// waitForAll waits until a condition is true for every hollow node.
func (c *Cluster) waitForAll(ctx context.Context, condition func(*hollowNode) bool) error {
	for _, node := range c.hollowNodes {
		for !condition(node) {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(waitPollPause):
			}
		}
	}
	return nil
}

// transferredBytes returns the number of bytes that all hollow nodes have received and sent so far.
func (c *Cluster) transferredBytes() float64 {
	sum := 0.0
	for _, node := range c.hollowNodes {
		sum += float64(node.meter.total())
	}
	return sum
}

// perHollowNode returns the mean per hollow node of a total over all hollow nodes.
func (c *Cluster) perHollowNode(total float64) float64 {
	return total / float64(max(1, len(c.hollowNodes)))
}
