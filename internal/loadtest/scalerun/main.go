// Command scalerun measures a system of chosen size on this machine; see
// docs/CAPACITY.md.
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

func main() {
	s := loadtest.Size{}
	flag.IntVar(&s.Hollow, "hollow", 160, "hollow switches, all in this process")
	flag.IntVar(&s.Real, "real", 2, "switches that are processes")
	flag.IntVar(&s.Registrars, "registrars", 6, "registrars, each a process")
	flag.IntVar(&s.Zones, "zones", 6, "zones")
	flag.IntVar(&s.Leafs, "leafs", 875, "leafs that the platform lists, six to a shard")
	flag.IntVar(&s.Routes, "routes", 200, "further routes")
	flag.IntVar(&s.Tenants, "tenants", 100, "tenants")
	flag.Float64Var(&s.PerNode, "per-node", 0, "requests of tenants a second at each hollow switch")
	flag.IntVar(&s.Changes, "changes", 5, "configuration changes to measure")
	flag.DurationVar(&s.Rest, "rest", 10*time.Second, "how long each state is measured")
	flag.BoolVar(&s.Estimates, "estimates", false, "lookups are followed for estimates")
	gather := flag.Float64("gather", 0, "instead, measure one switch with so many gathered queries a second")
	binary := flag.String("binary", "target/comethold", "the program")
	flag.Parse()
	if err := run(s, *binary, *gather); err != nil {
		fmt.Fprintln(os.Stderr, "scalerun:", err)
		os.Exit(1)
	}
}

func run(s loadtest.Size, binary string, gather float64) error {
	dir, err := os.MkdirTemp("", "comethold-scale-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	r := loadtest.New(s, binary, dir)
	defer r.Close()
	var rep any
	if gather > 0 {
		rep, err = r.MeasureScatter(ctx, gather)
	} else {
		rep, err = r.Measure(ctx)
	}
	if err != nil {
		return err
	}
	raw, err := json.MarshalIndent(rep, "", " ")
	if err != nil {
		return err
	}
	fmt.Println(string(raw))
	return nil
}
