// Package loadtest runs a system of chosen size on one machine and measures what it costs;
// docs/CAPACITY.md has the figures.
//
// A Cluster starts control nodes and some proxies as the processes that they are, and the
// other proxies hollow: a hollow node is all of a proxy but its requests to leafs, and all
// hollow nodes share this process, each with an address and sockets of its own. The
// platform's list and the leafs are stand-ins of this process.
//
//	cluster := loadtest.New(size, "target/comethold", dir)
//	defer cluster.Close()
//	report, err := cluster.Measure(ctx)
package loadtest
