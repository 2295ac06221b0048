package process

import (
	"bytes"
	"context"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"comethold/internal/settings"
	"comethold/internal/testbed"
)

// TestPortTemporarilyTaken guards against a start that fails because another process or connection still uses the port.
func TestPortTemporarilyTaken(t *testing.T) {
	holders := map[string]func(t *testing.T, address string) (release func()){
		"listener":   holdListener,
		"datagrams":  holdDatagrams,
		"connection": holdConnection,
	}
	for name, hold := range holders {
		t.Run(name, func(t *testing.T) {
			for _, program := range programNames {
				t.Run(program, func(t *testing.T) {
					t.Parallel()
					n := newNode(t, program)
					release := hold(t, n.internalAddress())
					i := n.start(t)
					time.Sleep(1500 * time.Millisecond)
					release()
					i.awaitAccepting(n.internalAddress())
					i.awaitLine(`"event":109`)
					i.awaitLine(`"event":110`)
					if count := strings.Count(i.log.String(), `"event":108`); count != 1 {
						t.Errorf("%d lines of event 108, want 1: %s", count, i.log)
					}
					i.wantStop()
				})
			}
		})
	}
}

func holdListener(t *testing.T, address string) (release func()) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	return func() { _ = listener.Close() }
}

func holdDatagrams(t *testing.T, address string) (release func()) {
	t.Helper()
	conn, err := (&net.ListenConfig{}).ListenPacket(t.Context(), "udp4", address)
	if err != nil {
		t.Fatal(err)
	}
	return func() { _ = conn.Close() }
}

// holdConnection opens a connection whose local address is the given one.
func holdConnection(t *testing.T, address string) (release func()) {
	t.Helper()
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", net.JoinHostPort(host, "0"))
	if err != nil {
		t.Fatal(err)
	}
	local, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := (&net.Dialer{LocalAddr: local}).DialContext(t.Context(), "tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return func() {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // frees the port at once, without TIME_WAIT
		}
		_ = conn.Close()
		_ = listener.Close()
	}
}

// TestTerminationWhileAPortIsTaken guards against a SIGTERM that takes effect only after the port has become free.
func TestTerminationWhileAPortIsTaken(t *testing.T) {
	for _, program := range programNames {
		t.Run(program, func(t *testing.T) {
			t.Parallel()
			n := newNode(t, program)
			defer holdListener(t, n.internalAddress())()
			i := n.start(t)
			i.awaitLine(`"event":108`)
			i.signal(syscall.SIGHUP)
			i.wantStop()
			if last := i.lastLine(); !strings.Contains(last, `"event":103`) || !strings.Contains(last, `"phase":"start"`) {
				t.Errorf("the last line is %s, want event 103 in the phase start", last)
			}
		})
	}
}

// TestAddressOfOtherMachine guards against a start that waits without end for an address that this machine doesn't
// have.
func TestAddressOfOtherMachine(t *testing.T) {
	for _, program := range programNames {
		t.Run(program, func(t *testing.T) {
			t.Parallel()
			n := newNode(t, program)
			n.settings.IPAddress = "192.0.2.1" // reserved for documentation
			started := time.Now()
			i := n.start(t)
			i.wantExit(exitFailure)
			if waited := time.Since(started); waited > gracePeriod(n.settings)+startMargin {
				t.Errorf("ended after %v, want at most %v", waited, gracePeriod(n.settings)+startMargin)
			}
			if last := i.lastLine(); !strings.Contains(last, `"event":107`) || !strings.Contains(last, "192.0.2.1") {
				t.Errorf("the last line is %s, want event 107 and the address 192.0.2.1", last)
			}
		})
	}
}

// TestSettingsWrittenDuringTheStart guards against a start that fails because its settings file is only partly written.
func TestSettingsWrittenDuringTheStart(t *testing.T) {
	for _, program := range programNames {
		t.Run(program, func(t *testing.T) {
			t.Parallel()
			n := newNode(t, program)
			if err := testbed.WriteSettings(n.file, n.settings); err != nil {
				t.Fatal(err)
			}
			text, err := os.ReadFile(n.file)
			if err != nil {
				t.Fatal(err)
			}
			for _, written := range []int{0, 11, bytes.Index(text, []byte("seedNodes"))} {
				if err := os.WriteFile(n.file, text[:written], 0o600); err != nil {
					t.Fatal(err)
				}
				if settingsAreValid(text[:written]) {
					t.Fatalf("the first %d bytes of the settings are valid, want them to be invalid", written)
				}
				i := n.startWith(t, nil)
				time.Sleep(200 * time.Millisecond)
				if err := os.WriteFile(n.file, text, 0o600); err != nil {
					t.Fatal(err)
				}
				i.awaitAccepting(n.internalAddress())
				i.wantStop()
			}
		})
	}
}

func settingsAreValid(text []byte) bool {
	_, err := settings.Parse(text)
	return err == nil
}

// TestInvalidSettings guards against a start that waits without end for an invalid settings file to change.
func TestInvalidSettings(t *testing.T) {
	for _, program := range programNames {
		t.Run(program, func(t *testing.T) {
			t.Parallel()
			n := newNode(t, program)
			if err := os.WriteFile(n.file, []byte("nodeName = "), 0o600); err != nil {
				t.Fatal(err)
			}
			i := n.startWith(t, nil)
			i.wantExit(exitFailure)
			if last := i.lastLine(); !strings.Contains(last, `"event":107`) || !strings.Contains(last, "settings") {
				t.Errorf("the last line is %s, want event 107 and an error of the settings", last)
			}
		})
	}
}

// TestDataDirectoryMissing guards against a program that waits for a missing data directory, or runs without it,
// instead of creating it.
func TestDataDirectoryMissing(t *testing.T) {
	for _, program := range []string{"control-plane", "object-cache"} {
		t.Run(program, func(t *testing.T) {
			t.Parallel()
			n := newNode(t, program)
			i := n.start(t)
			opened := map[string]string{"control-plane": `"event":206`, "object-cache": `"event":701`}[program]
			i.awaitLine(opened)
			if entries, err := os.ReadDir(n.settings.DataDirectory); err != nil || len(entries) == 0 {
				t.Errorf("the data directory has %d files (error %v), want at least 1", len(entries), err)
			}
			if strings.Contains(i.log.String(), `"event":202`) || strings.Contains(i.log.String(), `"event":702`) {
				t.Errorf("the log contains a disk fault (event 202 or 702), want none: %s", i.log)
			}
			i.wantStop()
		})
	}
}

// TestDataDirectoryCannotBeMade guards against a control plane that runs on without a data directory, and so never
// becomes ready, and doesn't log the reason.
func TestDataDirectoryCannotBeMade(t *testing.T) {
	n := newNode(t, "control-plane")
	if err := os.WriteFile(n.settings.DataDirectory, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	n.settings.DataDirectory += "/below"
	i := n.start(t)
	i.wantExit(exitFailure)
	if last := i.lastLine(); !strings.Contains(last, `"event":107`) || !strings.Contains(last, "data directory") {
		t.Errorf("the last line is %s, want event 107 and an error of the data directory", last)
	}
}

// TestStorageLockedByPredecessor guards against a start that fails because the previous process still has the storage
// open.
func TestStorageLockedByPredecessor(t *testing.T) {
	for program, opened := range map[string]string{"control-plane": `"event":206`, "object-cache": `"event":701`} {
		t.Run(program, func(t *testing.T) {
			t.Parallel()
			predecessor, n := newNode(t, program), newNode(t, program)
			n.settings.DataDirectory = predecessor.settings.DataDirectory
			first := predecessor.start(t)
			first.awaitLine(opened)
			second := n.start(t)
			second.awaitAccepting(n.internalAddress())
			time.Sleep(1500 * time.Millisecond)
			first.wantStop()
			second.awaitLine(opened)
			second.wantStop()
		})
	}
}

// TestDescriptorsExhausted guards against a process that ends, or stops accepting connections for good, when it has no
// file descriptors left.
func TestDescriptorsExhausted(t *testing.T) {
	n := newNode(t, "object-cache")
	if err := testbed.WriteSettings(n.file, n.settings); err != nil {
		t.Fatal(err)
	}
	shell := newNode(t, "object-cache")
	wrapper := shell.dir + "/limited"
	script := "#!/bin/sh\nulimit -n 40\nexec " + comethold + " \"$@\"\n"
	if err := os.WriteFile(wrapper, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	kept := &lockedBuffer{}
	started, err := testbed.Start(t.Context(), testbed.Command{
		Binary: wrapper, Program: n.program, SettingsFile: n.file, Log: kept,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Kill)
	i := &instance{Process: started, t: t, log: kept}
	i.awaitAccepting(n.internalAddress())
	held := make([]net.Conn, 0, 200)
	for range cap(held) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", n.internalAddress())
		cancel()
		if err == nil {
			held = append(held, conn)
		}
	}
	i.awaitLine(`"event":114`)
	for _, conn := range held {
		_ = conn.Close()
	}
	i.awaitLine(`"event":115`)
	i.wantStop()
}
