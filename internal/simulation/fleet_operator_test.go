package simulation_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"comethold/internal/controlplane/operatorapi"
	"comethold/internal/rpc"
	"comethold/internal/settings"
	"comethold/internal/simulation"
)

// Paths of the operator API.
const (
	pathReplace = "/Configuration.Replace"
	pathRead    = "/Configuration.Read"
	pathOutbox  = "/Notices.Read"
)

const replaceRetryPause = 150 * time.Millisecond

// call sends one request from the operator's address; status 0 means no answer within 2 s.
// Changes and reads of the configuration are recorded in the history.
func (f *fleet) call(m *machine, method, path string, base uint64, raw string) (status int, answer string) {
	if path == pathReplace || path == pathRead {
		from := f.history.tick()
		defer func() {
			c := operatorCall{read: path == pathRead, base: base, body: raw}
			f.history.record(from, c, operatorAnswer{status, answer})
		}()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	status, answer, err := f.send(ctx, method, net.JoinHostPort(m.addr, controlPort)+path, base, raw)
	if err != nil {
		return 0, ""
	}
	return status, answer
}

// send sends one request from the operator's address, on a new connection.
func (f *fleet) send(ctx context.Context, method, url string, base uint64, raw string) (int, string, error) {
	transport := &http.Transport{
		DialContext:       f.network.networkFor(operatorAddr)(time.Second, time.Second),
		DisableKeepAlives: true,
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+url, strings.NewReader(raw))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("X-Comethold-Base-Version", strconv.FormatUint(base, 10))
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, string(answer), err
}

func (f *fleet) post(m *machine, path string, base uint64, raw string) int {
	status, _ := f.call(m, http.MethodPost, path, base, raw)
	return status
}

// get reads a path of the operator API and decodes the JSON answer into a value; it also returns the text.
func (f *fleet) get(m *machine, path string, into any) (string, error) {
	_, raw := f.call(m, http.MethodGet, path, 0, "")
	return raw, json.Unmarshal([]byte(raw), into)
}

// isIndeterminate reports whether the outcome of a change is unknown after this status.
func isIndeterminate(status int) bool { return status == 0 || status == http.StatusServiceUnavailable }

// replaceAt sends a generated configuration to a machine as replaceUntilOutcomeKnown does.
func (f *fleet) replaceAt(m *machine, version, base uint64, mark string, limit time.Duration) int {
	return f.replaceUntilOutcomeKnown(m, base, version, f.configurationBody(version, mark), limit)
}

// replaceUntilOutcomeKnown sends a change and repeats it until its outcome is known or the limit is reached.
// It counts the last status, records the change if it was acknowledged, and returns the status.
func (f *fleet) replaceUntilOutcomeKnown(m *machine, base, version uint64, raw string, limit time.Duration) int {
	end := time.Now().Add(limit)
	status := f.post(m, pathReplace, base, raw)
	for isIndeterminate(status) && !time.Now().After(end) {
		time.Sleep(replaceRetryPause)
		status = f.post(m, pathReplace, base, raw)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replaceStatuses[strconv.Itoa(status)]++
	if status == http.StatusOK {
		if old, ok := f.successors[base]; ok && old != version {
			f.t.Errorf("versions %d and %d were both acknowledged on base %d, want one of them", old, version, base)
		}
		f.successors[base] = version
		f.acknowledged[version] = raw
		f.newest = max(f.newest, version)
	}
	return status
}

// readVersionAt reads the version of the configuration, 0 if there is none; ok is false if the read failed.
func (f *fleet) readVersionAt(m *machine) (version uint64, ok bool) {
	status, raw := f.call(m, http.MethodGet, pathRead, 0, "")
	var read struct {
		Version uint64 `json:"version"`
	}
	switch {
	case status == http.StatusNotFound:
		return 0, true
	case status != http.StatusOK || json.Unmarshal([]byte(raw), &read) != nil:
		return 0, false
	}
	return read.Version, true
}

// leaseHolder returns the machine that holds a lease, according to any running control node.
func (f *fleet) leaseHolder(role string) (*machine, error) {
	for _, m := range f.controlNodes() {
		var view operatorapi.LeasesView
		if _, err := f.get(m, "/Duties.Read", &view); err != nil {
			continue
		}
		for _, lease := range view.Leases {
			if holder := f.controlNodeOf(lease.Owner); lease.Role == role && holder != nil {
				return holder, nil
			}
		}
	}
	return nil, fmt.Errorf("no running control node holds the lease %s", role)
}

// controlNodeOf returns the machine of a replica ID, or nil if its control plane does not run.
func (f *fleet) controlNodeOf(replicaID string) *machine {
	addr, _, _ := strings.Cut(replicaID, "~")
	for _, m := range f.machines {
		if m.addr == addr && m.controlPlane != nil {
			return m
		}
	}
	return nil
}

// leaseHolders returns the machines that hold these leases, each once.
func (f *fleet) leaseHolders(roles []string) ([]*machine, error) {
	var holders []*machine
	for _, role := range roles {
		m, err := f.leaseHolder(role)
		if err != nil {
			return nil, err
		}
		if !slices.Contains(holders, m) {
			holders = append(holders, m)
		}
	}
	return holders, nil
}

// leaderMachine returns the control node whose leadership of the meta cell a majority confirms, or nil if
// there is none after 100 tries, 100 ms apart.
func (f *fleet) leaderMachine() *machine {
	const (
		tries = 100
		pause = 100 * time.Millisecond
	)
	client := rpc.NewClient(f.network.networkFor(operatorAddr))
	for range tries {
		for _, m := range f.controlNodes() {
			if f.confirmsLeadership(client, m) {
				return m
			}
		}
		time.Sleep(pause)
	}
	return nil
}

func (f *fleet) confirmsLeadership(client *rpc.Client, m *machine) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request := struct {
		Cell string `cbor:"1,keyasint"`
	}{"exchange"}
	var answer struct {
		Confirmed bool `cbor:"1,keyasint"`
	}
	err := client.Call(ctx, f.internalAddress(m, settings.ControlPlane), "/confirm", request, &answer)
	return err == nil && answer.Confirmed
}

// sendMalformedMessages is `send-garbage NAMES`: sends malformed messages to every URL of these
// machines, and checks that each is rejected with a 4xx status.
func (f *fleet) sendMalformedMessages(c simulation.Command) error {
	for _, m := range f.machinesNamed(c.Word(0)) {
		for _, url := range f.urlsOf(m) {
			for _, raw := range malformedMessages() {
				if err := f.wantRejected(url, raw); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// urlsOf returns all URLs under which a machine accepts messages.
func (f *fleet) urlsOf(m *machine) []string {
	var urls []string
	if m.controlPlane != nil {
		for _, path := range []string{
			"/cells", "/propose", "/confirm", "/claim", "/move", "/list", "/feed", "/ration", "/notices",
		} {
			urls = append(urls, f.internalAddress(m, settings.ControlPlane)+path)
		}
		for _, path := range []string{pathReplace, "/Configuration.Amend", "/purge", "/Notices.Redrive"} {
			urls = append(urls, net.JoinHostPort(m.addr, controlPort)+path)
		}
	}
	return append(urls, f.internalAddress(m, settings.DataPlane)+"/feed")
}

// malformedMessages returns truncated, deeply nested and oversized messages in the accepted encodings.
func malformedMessages() []string {
	const depth = 5000
	return []string{
		"", "\x00", "\x01", "\x01\xff\xff\xff", "\x00\xa1\x01",
		"\x00\xbb\xff\xff\xff\xff\xff\xff\xff\xff", "\x00\x9b\x7f\xff\xff\xff\xff\xff\xff\xff",
		"\x00" + strings.Repeat("\x81", depth), "\x00\xf6\xf6",
		strings.Repeat("[", depth), "{\"version\":1e999}",
	}
}

func (f *fleet) wantRejected(url, raw string) error {
	status, _, err := f.send(context.Background(), http.MethodPost, url, 0, raw)
	if status == 0 {
		return fmt.Errorf("%s did not answer the malformed message %.20q: %w", url, raw, err)
	}
	if status/100 != 4 {
		return fmt.Errorf("%s answered the malformed message %.20q with status %d, want 4xx", url, raw, status)
	}
	return nil
}

// operator sends random changes: new ones, and some of its earlier ones again. A new change is based on the
// version that the operator read last or that was acknowledged to it last. Its version may be the same as that of
// another operator's change.
type operator struct {
	fleet       *fleet
	machines    []*machine
	rng         *rand.Rand
	name        string
	maxPause    time.Duration
	baseVersion uint64 // version that was read or acknowledged last
	sent        []sentReplace
}

type sentReplace struct {
	version, base uint64
	raw           string
}

// runOperators is `operators N NAMES MS [seed= gap=]`: N concurrent operators send random changes
// and reads to these machines.
func (f *fleet) runOperators(c simulation.Command) error {
	var working sync.WaitGroup
	for i := range c.Int(0) {
		seed := int64(c.OptionFloat("seed", 1))*100 + int64(i)
		o := &operator{
			fleet:    f,
			machines: f.machinesNamed(c.Word(1)),
			rng:      rand.New(rand.NewSource(seed)),
			name:     "o" + strconv.Itoa(i),
			maxPause: c.OptionDuration("gap", 300),
		}
		working.Go(func() { o.runUntil(time.Now().Add(c.Milliseconds(2))) })
	}
	working.Wait()
	return nil
}

func (o *operator) runUntil(end time.Time) {
	for time.Now().Before(end) {
		if version, ok := o.fleet.readVersionAt(o.drawMachine()); ok {
			o.baseVersion = version
		}
		o.sendWithRetries(o.drawReplace())
		time.Sleep(time.Duration(o.rng.Float64() * float64(o.maxPause)))
	}
}

func (o *operator) drawMachine() *machine { return o.machines[o.rng.Intn(len(o.machines))] }

// drawReplace returns a new change, or with a probability of 1/4 one that was sent before.
func (o *operator) drawReplace() sentReplace {
	change := sentReplace{version: o.baseVersion + 1 + uint64(o.rng.Intn(2)), base: o.baseVersion}
	change.raw = o.fleet.configurationBody(change.version, o.name)
	if n := len(o.sent); n > 0 && o.rng.Intn(4) == 0 {
		return o.sent[o.rng.Intn(n)]
	}
	o.sent = append(o.sent, change)
	return change
}

// sendWithRetries sends a change one to three times, each time to a random machine, until its
// outcome is known.
func (o *operator) sendWithRetries(change sentReplace) {
	for range 1 + o.rng.Intn(3) {
		status := o.fleet.replaceUntilOutcomeKnown(o.drawMachine(), change.base, change.version, change.raw, 0)
		if status == http.StatusOK {
			o.baseVersion = max(o.baseVersion, change.version)
		}
		if !isIndeterminate(status) {
			return
		}
	}
}
