// Command loadtest measures a system of a given size on this machine; see docs/CAPACITY.md.
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

// options are the values of the command-line flags.
type options struct {
	size    loadtest.Size
	scatter float64 // queries per second for MeasureScatter; 0 selects Measure
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
	flag.IntVar(&size.Real, "real", 2, "proxies that run as processes")
	flag.IntVar(&size.ControlNodes, "registrars", 6, "control nodes, each a process")
	flag.IntVar(&size.Zones, "zones", 6, "zones")
	flag.IntVar(&size.Leafs, "leafs", 875, "leafs in the platform's list, six per shard")
	flag.IntVar(&size.Routes, "routes", 200, "additional routes")
	flag.IntVar(&size.Tenants, "tenants", 100, "tenants")
	flag.Float64Var(&size.PerNode, "per-node", 0, "tenant requests per second at each hollow proxy")
	flag.IntVar(&size.Changes, "changes", 5, "number of configuration changes to measure")
	flag.DurationVar(&size.Rest, "rest", 10*time.Second,
		"duration of the measurement without load, and of the one under load")
	flag.BoolVar(&size.Estimates, "estimates", false, "collect lookup latencies")
	flag.Float64Var(&o.scatter, "gather", 0,
		"if positive, measure only one proxy, with this number of queries per second to all shards")
	flag.StringVar(&o.binary, "binary", "target/comethold", "path of the program")
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
