package objectcache

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/routing"
	"comethold/internal/simulation"
)

// defaultWaitMs is how long calls wait for their reply by default.
const defaultWaitMs = 3000

// commands are the commands of the scenarios, listed in docs/testing.md.
var commands = map[string]func(*cacheWorld, simulation.Command) error{
	"origin":           (*cacheWorld).configureOrigin,
	"mode":             (*cacheWorld).setMode,
	"contact":          (*cacheWorld).contact,
	"share":            (*cacheWorld).setShare,
	"object":           (*cacheWorld).setObject,
	"purge":            (*cacheWorld).purgePath,
	"purge-label":      (*cacheWorld).purgeLabel,
	"purges-reset":     (*cacheWorld).resetPurges,
	"get":              (*cacheWorld).getInTurn,
	"get-concurrently": (*cacheWorld).getConcurrently,
	"get-distinct":     (*cacheWorld).getDistinct,
	"permits":          (*cacheWorld).requestPermits,
	"run":              (*cacheWorld).runFor,
	"want":             (*cacheWorld).wantReplies,
	"want-reads":       (*cacheWorld).wantReads,
	"want-rate":        (*cacheWorld).wantRate,
	"want-within":      (*cacheWorld).wantWithin,
}

// Do runs a command.
func (w *cacheWorld) Do(c simulation.Command) error {
	command := commands[c.Verb]
	if command == nil {
		return errors.New("unknown command")
	}
	return command(w, c)
}

// count returns the first word as a whole number.
func count(c simulation.Command) int { return int(c.Milliseconds(0) / time.Millisecond) }

// waitOf returns how long the calls of a command wait for their replies: its option wait, in
// milliseconds.
func waitOf(c simulation.Command) time.Duration {
	return time.Duration(c.OptionFloat("wait", defaultWaitMs)) * time.Millisecond
}

// configureOrigin is `origin [ttl= rate= work=]`: sets the TTL of objects in seconds, the rate of the
// service in requests per second and the duration of a read in milliseconds. It also grants the
// server the full share of the rate.
func (w *cacheWorld) configureOrigin(c simulation.Command) error {
	w.readDuration = time.Duration(c.OptionFloat("work", 50) * float64(time.Millisecond))
	raw, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name":        "r",
			"hostname":    "h.example",
			"pathPrefix":  "/",
			"routeKind":   "cacheable",
			"timeoutMs":   3000,
			"service":     "s",
			"maxAttempts": 2,
			"cacheTtlS":   c.OptionFloat("ttl", 10),
		}},
		"services": []any{map[string]any{
			"name":            "s",
			"connectionLimit": 100,
			"ratePerS":        c.OptionFloat("rate", 0),
		}},
	})
	if err != nil {
		return err
	}
	config, err := routing.Decode(raw)
	if err != nil {
		return err
	}
	w.server.Apply(&distribution.Update{
		Config: distribution.FullConfig(config),
		Endpoints: &distribution.EndpointList{
			Revision: distribution.Revision{Term: 1, Sequence: 1},
			Endpoints: []distribution.Endpoint{
				{ID: "l1", Service: "s", Addr: "x", Zone: "a", Slots: 8},
				{ID: "l2", Service: "s", Addr: "y", Zone: "a", Slots: 8},
			},
		},
	})
	w.server.limiter.Renew(1000, time.Now().Add(time.Hour))
	return nil
}

// setMode is `mode MODE`: sets how the origin responds.
func (w *cacheWorld) setMode(c simulation.Command) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mode = originMode(c.Word(0))
	return nil
}

// contact is `contact`: sends the server an update from a control node that is in contact with the
// majority.
func (w *cacheWorld) contact(simulation.Command) error {
	w.server.Apply(&distribution.Update{})
	return nil
}

// setShare is `share PERMILLE MS`: grants the server a share of the rates for MS milliseconds.
func (w *cacheWorld) setShare(c simulation.Command) error {
	w.server.limiter.Renew(count(c), time.Now().Add(c.Milliseconds(1)))
	return nil
}

// setObject is `object PATH TAG [label=]`: sets the origin's object at a path. TAG is its ETag and body.
func (w *cacheWorld) setObject(c simulation.Command) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.objects[c.Word(0)] = originObject{etag: c.Word(1), label: c.Options["label"]}
	return nil
}

// purgePath is `purge PATH`: purges the objects of a path.
func (w *cacheWorld) purgePath(c simulation.Command) error {
	w.purge(distribution.Purge{Host: "h.example", Path: c.Word(0)})
	return nil
}

// purgeLabel is `purge-label LABEL`: purges the objects with a label.
func (w *cacheWorld) purgeLabel(c simulation.Command) error {
	w.purge(distribution.Purge{Label: c.Word(0)})
	return nil
}

// purge applies a purge at the next log index.
func (w *cacheWorld) purge(p distribution.Purge) {
	w.purgeIndex++
	p.LogIndex = w.purgeIndex
	w.server.Apply(&distribution.Update{
		Purges: &distribution.PurgeUpdate{LogIndex: p.LogIndex, Purges: []distribution.Purge{p}},
	})
}

// resetPurges is `purges-reset`: sends a purge update after which the server no longer knows the earlier purges.
func (w *cacheWorld) resetPurges(simulation.Command) error {
	w.purgeIndex++
	w.server.Apply(&distribution.Update{
		Purges: &distribution.PurgeUpdate{LogIndex: w.purgeIndex, Reset: true},
	})
	return nil
}

// getInTurn is `get PATH [n= wait=]`: requests an object n times, one request after the other.
func (w *cacheWorld) getInTurn(c simulation.Command) error {
	for range int(c.OptionFloat("n", 1)) {
		w.get(c.Word(0), waitOf(c))
	}
	return nil
}

// getConcurrently is `get-concurrently PATH,... [n= wait= background=]`: requests each object n times,
// all at once. With background, the next command doesn't wait for the replies.
func (w *cacheWorld) getConcurrently(c simulation.Command) error {
	for range int(c.OptionFloat("n", 1)) {
		for _, path := range strings.Split(c.Word(0), ",") {
			w.calls.Go(func() { w.get(path, waitOf(c)) })
		}
	}
	if c.Options["background"] != "" {
		synctest.Wait()
		return nil
	}
	w.calls.Wait()
	return nil
}

// getDistinct is `get-distinct N`: requests N different objects, all at once.
func (w *cacheWorld) getDistinct(c simulation.Command) error {
	for i := range count(c) {
		path := fmt.Sprintf("/many/%d", i)
		w.mu.Lock()
		w.objects[path] = originObject{etag: "many"}
		w.mu.Unlock()
		w.calls.Go(func() { w.get(path, defaultWaitMs*time.Millisecond) })
	}
	w.calls.Wait()
	return nil
}

// requestPermits is `permits N [wait=]`: requests N permits as data plane nodes do, all at once in
// the background.
func (w *cacheWorld) requestPermits(c simulation.Command) error {
	for range count(c) {
		w.calls.Go(func() { w.requestPermit(waitOf(c)) })
	}
	return nil
}

// runFor is `run MS [disconnected=]`: lets MS milliseconds pass. The server receives an update each second
// unless disconnected is set.
func (w *cacheWorld) runFor(c simulation.Command) error {
	for left := c.Milliseconds(0); left > 0; left -= time.Second {
		time.Sleep(min(left, time.Second))
		if c.Options["disconnected"] == "" {
			w.server.Apply(&distribution.Update{})
		}
	}
	return nil
}

// wantReplies is `want BODY-OR-STATUS=N ...`: checks the replies since the last such command, after the
// background calls have ended.
func (w *cacheWorld) wantReplies(c simulation.Command) error {
	w.calls.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	for bodyOrStatus, want := range c.Options {
		if fmt.Sprint(w.replies[bodyOrStatus]) != want {
			return fmt.Errorf("numbers of replies by body or status are %v, want %s of %s", w.replies, want, bodyOrStatus)
		}
	}
	w.replies = map[string]int{}
	return nil
}

// wantReads is `want-reads N [unchanged=]`: checks the reads and granted permits since the last such command,
// and how many of them were revalidations of an unchanged object.
func (w *cacheWorld) wantReads(c simulation.Command) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	unchanged, checked := c.Options["unchanged"]
	if fmt.Sprint(len(w.reads)) != c.Word(0) || checked && fmt.Sprint(w.revalidations) != unchanged {
		return fmt.Errorf("%d reads and granted permits, %d revalidations of an unchanged object, want %s and %q (\"\": any)",
			len(w.reads), w.revalidations, c.Word(0), unchanged)
	}
	w.reads = nil
	w.revalidations = 0
	return nil
}

// wantRate is `want-rate N MS`: checks that at most N reads started within any span of MS milliseconds.
func (w *cacheWorld) wantRate(c simulation.Command) error {
	for i := range w.reads {
		started := 0
		for _, at := range w.reads[i:] {
			if at.Sub(w.reads[i]) <= c.Milliseconds(1) {
				started++
			}
		}
		if started > count(c) {
			return fmt.Errorf("%d reads started within %v, want at most %d", started, c.Milliseconds(1), count(c))
		}
	}
	return nil
}

// wantWithin is `want-within MS`: checks that no reply since the last such command took longer
// than MS milliseconds.
func (w *cacheWorld) wantWithin(c simulation.Command) error {
	if w.slowestReply > c.Milliseconds(0) {
		return fmt.Errorf("the slowest reply took %v, want at most %v", w.slowestReply, c.Milliseconds(0))
	}
	w.slowestReply = 0
	return nil
}

// TestObjectCacheScenarios plays the scenarios of testdata.
func TestObjectCacheScenarios(t *testing.T) {
	simulatedTime := func(t *testing.T, run func(*testing.T)) {
		t.Helper()
		synctest.Test(t, run)
	}
	world := func(t *testing.T) simulation.World {
		t.Helper()
		return newCacheWorld(t)
	}
	simulation.RunScenarios(t, "testdata", simulatedTime, world)
}
