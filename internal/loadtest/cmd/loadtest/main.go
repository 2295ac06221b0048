// Command loadtest measures a system of chosen size on this machine; see docs/CAPACITY.md.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"comethold/internal/loadtest"
)

const timeLimit = 5 * time.Minute

// options are the flags.
type options struct {
	size    loadtest.Size
	scatter float64 // queries a second; 0 measures the control plane
	binary  string
}

func main() {
	if err := run(parseFlags()); err != nil {
		fmt.Fprintln(os.Stderr, "loadtest:", err)
		os.Exit(1)
	}
}

func parseFlags() options {
	var o options
	size := &o.size
	flag.IntVar(&size.Hollow, "hollow", 160, "hollow proxies, all in this process")
	flag.IntVar(&size.Real, "real", 2, "proxies that are processes")
	flag.IntVar(&size.ControlNodes, "registrars", 6, "control nodes, each a process")
	flag.IntVar(&size.Zones, "zones", 6, "zones")
	flag.IntVar(&size.Leafs, "leafs", 875, "leafs that the platform lists, six to a shard")
	flag.IntVar(&size.Routes, "routes", 200, "further routes")
	flag.IntVar(&size.Tenants, "tenants", 100, "tenants")
	flag.Float64Var(&size.PerNode, "per-node", 0, "requests of tenants a second at each hollow proxy")
	flag.IntVar(&size.Changes, "changes", 5, "configuration changes to measure")
	flag.DurationVar(&size.Rest, "rest", 10*time.Second, "how long each state is measured")
	flag.BoolVar(&size.Estimates, "estimates", false, "latencies of lookups are collected")
	flag.Float64Var(&o.scatter, "gather", 0, "instead, measure one proxy with so many scattered queries a second")
	flag.StringVar(&o.binary, "binary", "target/comethold", "the program")
	flag.Parse()
	return o
}

func run(o options) error {
	dir, err := os.MkdirTemp("", "comethold-loadtest-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	cluster := loadtest.New(o.size, o.binary, dir)
	defer cluster.Close()
	report, err := measure(ctx, cluster, o)
	if err != nil {
		return err
	}
	raw, err := json.MarshalIndent(report, "", " ")
	if err != nil {
		return err
	}
	fmt.Println(string(raw))
	return nil
}

func measure(ctx context.Context, cluster *loadtest.Cluster, o options) (any, error) {
	if o.scatter > 0 {
		return cluster.MeasureScatter(ctx, o.scatter)
	}
	return cluster.Measure(ctx)
}
