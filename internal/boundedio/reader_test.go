package boundedio

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// TestReaderBound: a bounded read stops after the allowed number of bytes with ErrLimitExceeded, and
// the remaining bytes can be read after Unbound.
func TestReaderBound(t *testing.T) {
	r := &Reader{Source: strings.NewReader("abcdefgh")}
	r.Bound(3)
	if got, err := io.ReadAll(r); string(got) != "abc" || !errors.Is(err, ErrLimitExceeded) {
		t.Errorf("ReadAll after Bound(3) returned %q, %v; want abc, ErrLimitExceeded", got, err)
	}
	r.Bound(1)
	if got, err := io.ReadAll(r); string(got) != "d" || !errors.Is(err, ErrLimitExceeded) {
		t.Errorf("ReadAll after Bound(1) returned %q, %v; want d, ErrLimitExceeded", got, err)
	}
	r.Unbound()
	if got, err := io.ReadAll(r); string(got) != "efgh" || err != nil {
		t.Errorf("ReadAll after Unbound returned %q, %v; want efgh and no error", got, err)
	}
}
