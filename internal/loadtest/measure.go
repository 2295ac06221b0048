package loadtest

import (
	"context"
	"os"
	"time"

	"comethold/internal/testbed"
)

const (
	settlePause    = 3 * time.Second // until voters, shares and the endpoint list are stable
	changeInterval = 300 * time.Millisecond
)

// Measure starts the system and measures, one after another: the start of all hollow nodes, the
// idle system, configuration changes, the draining of a leaf, and the system under load.
func (c *Cluster) Measure(ctx context.Context) (*Report, error) {
	report := &Report{Size: c.size}
	steps := []func(context.Context, *Report) error{
		c.startAll, c.measureStart, c.measureIdle, c.measureChanges, c.measureDrain, c.measureLoad,
	}
	for _, step := range steps {
		if err := step(ctx, report); err != nil {
			return nil, err
		}
	}
	return report, nil
}

// startAll starts the simulated platform, the control nodes and the real proxies, and commits a
// configuration.
func (c *Cluster) startAll(ctx context.Context, _ *Report) error {
	c.listUnreachableLeafs()
	if err := c.servers.Listen(ctx, c.address(platformIP, platformPort), &c.platform); err != nil {
		return err
	}
	if err := c.startControlNodes(ctx, c.size.ControlNodes); err != nil {
		return err
	}
	if err := c.startRealProxies(ctx, c.size.Real); err != nil {
		return err
	}
	if _, err := c.replaceConfiguration(ctx); err != nil {
		return err
	}
	time.Sleep(settlePause)
	return nil
}

// measureStart starts all hollow nodes at once and measures the time until all can serve, the bytes
// transferred until then, and the memory per hollow node.
func (c *Cluster) measureStart(ctx context.Context, report *Report) error {
	memoryBefore := testbed.MemoryOf(os.Getpid()).Now
	start := time.Now()
	if err := c.startHollowNodes(ctx); err != nil {
		return err
	}
	canServe := func(node *hollowNode) bool {
		return node.proxy.Ready() && len(node.proxy.Endpoints()) == c.size.Leafs
	}
	if err := c.waitForAll(ctx, canServe); err != nil {
		return err
	}
	report.Start = time.Since(start)
	report.StartBytes = c.perHollowNode(c.transferredBytes())
	time.Sleep(c.size.Rest / 2)
	report.HollowMb = c.perHollowNode(testbed.MemoryOf(os.Getpid()).Now - memoryBefore)
	return nil
}

// measureIdle measures all processes without load.
func (c *Cluster) measureIdle(_ context.Context, report *Report) error {
	used, bytes := c.measureUsage(c.size.Rest)
	report.IdleBytes = bytes
	report.ControlNodes = used[:c.size.ControlNodes]
	if c.size.Real > 0 {
		report.Proxy = used[c.size.ControlNodes]
	}
	return nil
}

// measureChanges commits configurations one after another and measures how long each takes to reach
// all hollow nodes, and the bytes transferred.
func (c *Cluster) measureChanges(ctx context.Context, report *Report) error {
	bytesBefore := c.transferredBytes()
	for range c.size.Changes {
		acknowledged, err := c.replaceConfiguration(ctx)
		if err != nil {
			return err
		}
		inForce := func(node *hollowNode) bool {
			table := node.proxy.RouteTable()
			return table != nil && table.Version == c.version
		}
		if err := c.waitForAll(ctx, inForce); err != nil {
			return err
		}
		report.InForce = append(report.InForce, time.Since(acknowledged))
		time.Sleep(changeInterval)
	}
	if c.size.Changes > 0 {
		report.ChangeBytes = c.perHollowNode(c.transferredBytes()-bytesBefore) / float64(c.size.Changes)
	}
	return nil
}

// measureDrain sets a leaf to draining and measures how long the change takes to reach all hollow
// nodes.
func (c *Cluster) measureDrain(ctx context.Context, report *Report) error {
	id := c.drainFirstLeaf()
	listed := time.Now()
	isDrained := func(node *hollowNode) bool {
		for _, endpoint := range node.proxy.Endpoints() {
			if endpoint.ID == id {
				return endpoint.Draining
			}
		}
		return false
	}
	if err := c.waitForAll(ctx, isDrained); err != nil {
		return err
	}
	report.Drained = time.Since(listed)
	return nil
}

// measureLoad measures the control nodes under tenant requests, if the size includes any.
func (c *Cluster) measureLoad(ctx context.Context, report *Report) error {
	if c.size.PerNode <= 0 || c.size.Tenants == 0 {
		return nil
	}
	load := c.startTenantLoad(ctx)
	defer load.stop()
	time.Sleep(c.size.Rest / 2)
	load.reset()
	used, bytes := c.measureUsage(c.size.Rest)
	report.LoadBytes = bytes
	report.Loaded = used[:c.size.ControlNodes]
	report.Refused = load.refusedShare()
	return nil
}

// measureUsage measures for the given time, and returns the usage of each process, in the order of
// c.processes, and the mean bytes per second of a hollow node.
func (c *Cluster) measureUsage(span time.Duration) (used []Usage, bytesPerSecond float64) {
	bytesBefore := c.transferredBytes()
	start := time.Now()
	secondsBefore := make([]float64, len(c.processes))
	for i, process := range c.processes {
		secondsBefore[i] = testbed.ProcessorSeconds(process.PID())
	}
	time.Sleep(span)
	elapsed := time.Since(start).Seconds()
	for i, process := range c.processes {
		usage := memoryUsage(process.PID())
		usage.CPU = (testbed.ProcessorSeconds(process.PID()) - secondsBefore[i]) / elapsed
		used = append(used, usage)
	}
	return used, c.perHollowNode(c.transferredBytes()-bytesBefore) / elapsed
}
