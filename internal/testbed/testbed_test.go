package testbed

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"comethold/internal/settings"
)

// testSettings returns settings that pass validation.
func testSettings(dir string) *settings.Settings {
	return &settings.Settings{
		NodeName:          "n1",
		IPAddress:         "127.0.0.1",
		AvailabilityZone:  "zone-0",
		InternalPortRange: []int{20000, 20015},
		SeedNodes:         []string{"127.0.0.1:20020"},
		FirstStart:        true,
		DataDirectory:     filepath.Join(dir, "n1"),
		Zones:             map[string]string{"zone-0": "region-0"},
		Bounds:            settings.Bounds{CatchUpS: 4, RetryBudgetRatio: 0.2},
		Tolerance:         settings.Tolerance{MachineLosses: 1},
	}
}

// TestWriteSettings guards against settings that change when they are written and read back, and against temporary
// files that remain after a write or an overwrite.
func TestWriteSettings(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "n1.toml")
	for _, losses := range []int{1, 2} {
		want := testSettings(dir)
		want.Tolerance.MachineLosses = losses
		if err := WriteSettings(path, want); err != nil {
			t.Fatal(err)
		}
		got, err := settings.Load(path)
		if err != nil {
			t.Fatal("settings.Load after WriteSettings returned an error, want none:", err)
		}
		gotText, _ := json.Marshal(got)
		wantText, _ := json.Marshal(want)
		if string(gotText) != string(wantText) {
			t.Errorf("settings.Load after WriteSettings returned %s\nwant %s", gotText, wantText)
		}
	}
	if files, _ := os.ReadDir(dir); len(files) != 1 {
		t.Errorf("directory has files %v after WriteSettings, want only the settings file", files)
	}
}

// TestProcess guards against wrong exit codes and undetected exits: of a running process, and of processes that end by
// SIGTERM, by Kill and with an error.
func TestProcess(t *testing.T) {
	dir := t.TempDir()
	start := func(binary, argument string) *Process {
		p, err := Start(t.Context(), Command{
			Binary: binary, Program: argument, Settings: testSettings(dir), SettingsFile: filepath.Join(dir, "n1.toml"),
		})
		if err != nil {
			t.Fatal(err)
		}
		return p
	}
	p := start("sleep", "60")
	if code := p.ExitCode(); code != -1 {
		t.Errorf("ExitCode of a running process returned %d, want -1", code)
	}
	if err := p.Signal(syscall.SIGTERM); err != nil {
		t.Error("Signal to a running process returned an error, want none:", err)
	}
	select {
	case <-p.Exited():
	case <-time.After(10 * time.Second):
		t.Fatal("Exited was not closed within 10 s after SIGTERM, want it closed")
	}
	p.Kill() // has no effect on an ended process, and returns
	killed := start("sleep", "60")
	killed.Kill()
	failed := start("ls", filepath.Join(dir, "missing"))
	<-failed.Exited()
	if killed.ExitCode() != -1 || failed.ExitCode() <= 0 {
		t.Errorf("ExitCode returned %d after Kill and %d after a failed command, want -1 and a positive code",
			killed.ExitCode(), failed.ExitCode())
	}
	if _, err := os.Stat(filepath.Join(dir, "n1")); err != nil {
		t.Error("Start did not create the data directory, want it created")
	}
	if err := failed.Signal(syscall.SIGTERM); err == nil {
		t.Error("Signal to an ended process returned nil, want an error")
	}
}

// TestPlatform guards against wrong page bounds, by which an instance is missing from the pages, and against pages that
// show an outdated state or a removed instance.
func TestPlatform(t *testing.T) {
	const count = 2*platformPageSize + 1
	var platform Platform
	for i := range count + 1 {
		platform.Add(Instance{ID: strconv.Itoa(i), State: Ready})
	}
	if !platform.SetState("3", Draining) || !platform.Remove("7") {
		t.Error("SetState or Remove of a listed instance returned false, want true")
	}
	if platform.Remove("7") || platform.SetState("7", Ready) {
		t.Error("SetState or Remove of a removed instance returned true, want false")
	}
	states := map[string]string{}
	for token, pages := "", 0; ; pages++ {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/instances?pageToken="+token, nil)
		platform.ServeHTTP(recorder, request)
		var page instancePage
		if err := json.Unmarshal(recorder.Body.Bytes(), &page); err != nil {
			t.Fatal(err)
		}
		for _, instance := range page.Instances {
			states[instance.ID] = instance.State
		}
		if page.NextPageToken == nil {
			break
		}
		if token = *page.NextPageToken; pages > count {
			t.Fatal("pages do not end: every page has a next page token")
		}
	}
	if len(states) != count || states["3"] != Draining || states["7"] != "" || states["8"] != Ready {
		t.Errorf("pages list %d instances with states %v, want all but 7, with 3 draining", len(states), states)
	}
}

// TestServers guards against a Close that leaves the listener open, so that the address cannot be used again.
func TestServers(t *testing.T) {
	const address = "127.94.7.1:20030"
	for range 2 {
		var servers Servers
		if err := servers.Listen(t.Context(), address, &Platform{}); err != nil {
			t.Fatal("Listen on an unused or closed address returned an error, want none:", err)
		}
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/", nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		servers.Close()
	}
}
