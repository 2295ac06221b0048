package reconcile

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"comethold/internal/controlplane/schema"
	"comethold/internal/paxos"
	"comethold/internal/routing"
	"comethold/internal/rpc"
)

// setConfiguration commits a configuration with a route to each of the services.
func (s *testState) setConfiguration(version uint64, services ...string) {
	s.t.Helper()
	var routes, list []string
	for _, service := range services {
		routes = append(routes, fmt.Sprintf(
			`{"name":"r-%s","hostname":"h","pathPrefix":"/%s/","routeKind":"safe","timeoutMs":9,"service":%q}`,
			service, service, service))
		list = append(list, fmt.Sprintf(`{"name":%q}`, service))
	}
	raw := fmt.Appendf(nil, `{"version":%d,"limits":{},"services":[%s],"routes":[%s]}`,
		version, strings.Join(list, ","), strings.Join(routes, ","))
	configuration, err := routing.Parse(raw)
	if err != nil {
		s.t.Fatal(err)
	}
	meta := s.cell(schema.MetaCell)
	change := &schema.ConfigChange{Config: configuration, Raw: raw, Fingerprint: []byte("12345678")}
	if !meta.Commit(schema.ConfigTxn(meta.Replica(), change)) {
		s.t.Fatal("the configuration is not committed")
	}
}

// shardSets returns the services of the index cells that are listed, as these hold them.
func (s *testState) shardSets() (services []string) {
	for name := range schema.ReadIndexes(s.cell(schema.MetaCell).Replica()) {
		value, _ := s.Get(name, schema.ShardSetKey)
		var record schema.ShardSetRecord
		if err := rpc.Unmarshal(value.Bytes, &record); err != nil {
			s.t.Errorf("%s: %v", name, err)
		}
		services = append(services, name+":"+strings.Join(record.Services, ","))
	}
	slices.Sort(services)
	return services
}

// TestShardSetsFollowConfiguration: there is an index cell for each set of services that
// routes name; one keeps its services, and its name is not used again.
func TestShardSetsFollowConfiguration(t *testing.T) {
	s := newTestState(t)
	shardSets := &shardSetReconciler{cells: s.committer()}
	shardSets.reconcile(t.Context())
	if got := s.shardSets(); len(got) != 0 {
		t.Errorf("without a configuration: %v", got)
	}
	first, second, third := schema.IndexCellName(1), schema.IndexCellName(2), schema.IndexCellName(3)
	for version, step := range []struct{ services, want []string }{
		{[]string{"a", "b"}, []string{first + ":a", second + ":b"}},
		{[]string{"b"}, []string{second + ":b"}},
		{[]string{"b", "c"}, []string{second + ":b", third + ":c"}},
	} {
		s.setConfiguration(uint64(version)+1, step.services...)
		s.rejectNext = true // as if another node were first
		shardSets.reconcile(t.Context())
		shardSets.reconcile(t.Context())
		if got := s.shardSets(); !slices.Equal(got, step.want) {
			t.Errorf("%v: %v, not %v", step.services, got, step.want)
		}
	}
}

// TestOlderShardSetIsNotDue: what an index cell holds is replaced by newer shard sets alone.
func TestOlderShardSetIsNotDue(t *testing.T) {
	held := schema.MustEncode(schema.ShardSetRecord{Version: 5, Services: []string{"a"}})
	for _, c := range []struct {
		name   string
		held   paxos.Value
		exists bool
		want   schema.ShardSetRecord
		isDue  bool
	}{
		{"none is held", paxos.Value{}, false, schema.ShardSetRecord{Version: 3}, true},
		{"older", held, true, schema.ShardSetRecord{Version: 4, Services: []string{"b"}}, false},
		{"the same services", held, true, schema.ShardSetRecord{Version: 6, Services: []string{"a"}}, false},
		{"newer", held, true, schema.ShardSetRecord{Version: 6, Services: []string{"b"}}, true},
	} {
		if _, isDue := ShardSetTxn(c.held, c.exists, c.want); isDue != c.isDue {
			t.Errorf("%s: due is %v", c.name, isDue)
		}
	}
}
