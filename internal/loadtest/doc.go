// Package loadtest runs a system of chosen size on one machine and measures what it costs;
// docs/CAPACITY.md has the figures.
//
// A Cluster starts the control nodes and some real proxies as processes. The other proxies are
// hollow nodes: complete proxies that send no requests to leafs. All hollow nodes share this
// process, but each has its own address and sockets. This process also has stand-ins for the
// platform's list and the leafs.
//
//	cluster := loadtest.New(size, "target/comethold", dir)
//	defer cluster.Close()
//	report, err := cluster.Measure(ctx)
package loadtest
