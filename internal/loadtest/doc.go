// Package loadtest runs a system of a given size on one machine and measures its resource usage
// and latencies. docs/CAPACITY.md lists the results.
//
// A Cluster starts the control nodes and some real proxies as processes. The other proxies are
// hollow nodes: complete proxies that send no requests to leafs. All hollow nodes share this
// process, but each has its own address and sockets. This process also simulates the platform's
// instance list and the leafs.
//
//	cluster := loadtest.New(size, "target/comethold", dir)
//	defer cluster.Close()
//	report, err := cluster.Measure(ctx)
package loadtest
