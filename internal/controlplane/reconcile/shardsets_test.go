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

// setConfiguration commits a configuration with one route to each of the services.
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
		s.t.Fatal("Commit of the configuration returned false, want true")
	}
}

// shardSets returns the services in the shard set of each listed index cell, as sorted strings
// "cell:service,service".
func (s *testState) shardSets() (services []string) {
	for name := range schema.ReadIndexes(s.cell(schema.MetaCell).Replica()) {
		value, _ := s.Get(name, schema.ShardSetKey)
		var record schema.ShardSetRecord
		if err := rpc.Unmarshal(value.Bytes, &record); err != nil {
			s.t.Errorf("decoding the shard set of %s: %v", name, err)
		}
		services = append(services, name+":"+strings.Join(record.Services, ","))
	}
	slices.Sort(services)
	return services
}

// TestShardSetsFollowConfiguration: each set of services that routes name has an index cell. A
// cell keeps its services when the configuration changes, and the name of a removed cell is not
// reused. The first transaction of each step fails, so the next round must retry it.
func TestShardSetsFollowConfiguration(t *testing.T) {
	s := newTestState(t)
	shardSets := &shardSetReconciler{cells: s.committer()}
	shardSets.reconcile(t.Context())
	if got := s.shardSets(); len(got) != 0 {
		t.Errorf("shard sets without a configuration: %v, want none", got)
	}
	first, second, third := schema.IndexCellName(1), schema.IndexCellName(2), schema.IndexCellName(3)
	for version, step := range []struct{ services, want []string }{
		{[]string{"a", "b"}, []string{first + ":a", second + ":b"}},
		{[]string{"b"}, []string{second + ":b"}},
		{[]string{"b", "c"}, []string{second + ":b", third + ":c"}},
	} {
		s.setConfiguration(uint64(version)+1, step.services...)
		s.rejectNext = true // as if another node had committed first
		shardSets.reconcile(t.Context())
		shardSets.reconcile(t.Context())
		if got := s.shardSets(); !slices.Equal(got, step.want) {
			t.Errorf("services %v: shard sets are %v, want %v", step.services, got, step.want)
		}
	}
}

// TestShardSetTxnIsNeededOnlyForNewerServices: an older shard set, which a delayed round may
// propose, must not replace a newer one, and a new version with the same services needs no
// transaction.
func TestShardSetTxnIsNeededOnlyForNewerServices(t *testing.T) {
	stored := schema.MustEncode(schema.ShardSetRecord{Version: 5, Services: []string{"a"}})
	for _, c := range []struct {
		name     string
		stored   paxos.Value
		exists   bool
		want     schema.ShardSetRecord
		isNeeded bool
	}{
		{"none is stored", paxos.Value{}, false, schema.ShardSetRecord{Version: 3}, true},
		{"older", stored, true, schema.ShardSetRecord{Version: 4, Services: []string{"b"}}, false},
		{"the same services", stored, true, schema.ShardSetRecord{Version: 6, Services: []string{"a"}}, false},
		{"newer", stored, true, schema.ShardSetRecord{Version: 6, Services: []string{"b"}}, true},
	} {
		if _, isNeeded := ShardSetTxn(c.stored, c.exists, c.want); isNeeded != c.isNeeded {
			t.Errorf("%s: ShardSetTxn returned isNeeded = %v, want %v", c.name, isNeeded, c.isNeeded)
		}
	}
}
