package process

import (
	"errors"
	"io"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"comethold/internal/testbed"
)

// TestLogReaderGone guards against a process that ends when it logs after the reader of its standard error has closed
// the pipe (SIGPIPE or a write error).
func TestLogReaderGone(t *testing.T) {
	for _, program := range programNames {
		t.Run(program, func(t *testing.T) {
			t.Parallel()
			n := newNode(t, program)
			reader, writer := logPipe(t)
			i := n.startLoggingTo(t, writer)
			i.awaitAccepting(n.internalAddress())
			_ = reader.Close()
			n.writeLogLine(t, i)
			i.awaitAccepting(n.internalAddress())
			i.wantStop()
		})
	}
}

// TestLogNotRead guards against a process that blocks when its standard error is a pipe that is full and not read.
func TestLogNotRead(t *testing.T) {
	for _, program := range programNames {
		t.Run(program, func(t *testing.T) {
			t.Parallel()
			n := newNode(t, program)
			reader, writer := logPipe(t)
			fillPipe(t, writer)
			i := n.startLoggingTo(t, writer)
			i.awaitAccepting(n.internalAddress())
			for range 3 {
				n.writeLogLine(t, i)
				time.Sleep(100 * time.Millisecond)
			}
			i.awaitAccepting(n.internalAddress())
			i.wantStop()
			_ = reader.Close()
		})
	}
}

func logPipe(t *testing.T) (reader, writer *os.File) {
	t.Helper()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = reader.Close()
		_ = writer.Close()
	})
	return reader, writer
}

// fillPipe writes to a pipe until it is full, and leaves it in blocking mode.
func fillPipe(t *testing.T, writer *os.File) {
	t.Helper()
	descriptor := int(writer.Fd())
	if err := syscall.SetNonblock(descriptor, true); err != nil {
		t.Fatal(err)
	}
	block := []byte(strings.Repeat("x", 4096))
	for size := len(block); size > 0; {
		_, err := syscall.Write(descriptor, block[:size])
		if errors.Is(err, syscall.EAGAIN) {
			size /= 2
		}
	}
	if err := syscall.SetNonblock(descriptor, false); err != nil {
		t.Fatal(err)
	}
}

// startLoggingTo writes the settings of the node and starts the program. The process inherits the given file as its
// standard error, without a pipe in between.
func (n *node) startLoggingTo(t *testing.T, log io.Writer) *instance {
	t.Helper()
	if err := testbed.WriteSettings(n.file, n.settings); err != nil {
		t.Fatal(err)
	}
	return n.startWith(t, log)
}

// writeLogLine makes the process log that its settings were reloaded.
func (n *node) writeLogLine(t *testing.T, i *instance) {
	t.Helper()
	n.settings.Bounds.DrainMs++
	if err := testbed.WriteSettings(n.file, n.settings); err != nil {
		t.Fatal(err)
	}
	i.signal(syscall.SIGHUP)
	time.Sleep(200 * time.Millisecond)
}

// TestTraceWhileLogIsNotRead guards against a process that hangs on SIGQUIT: the Go runtime writes the stack trace to
// standard error itself and blocks if that is a full pipe.
func TestTraceWhileLogIsNotRead(t *testing.T) {
	n := newNode(t, "object-cache")
	_, writer := logPipe(t)
	fillPipe(t, writer)
	i := n.startLoggingTo(t, writer)
	i.awaitAccepting(n.internalAddress())
	i.signal(syscall.SIGQUIT)
	select {
	case <-i.Exited():
	case <-time.After(maxWait):
		t.Error("it runs on after SIGQUIT")
	}
}
