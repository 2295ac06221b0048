package boundedio

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// TestReader: at most as many bytes are read as the bound allows, and more once it has ended.
func TestReader(t *testing.T) {
	r := &Reader{Source: strings.NewReader("abcdefgh")}
	r.Bound(3)
	if got, err := io.ReadAll(r); string(got) != "abc" || !errors.Is(err, ErrLimitExceeded) {
		t.Errorf("%q, %v", got, err)
	}
	r.Bound(1)
	if got, err := io.ReadAll(r); string(got) != "d" || !errors.Is(err, ErrLimitExceeded) {
		t.Errorf("%q, %v", got, err)
	}
	r.Unbound()
	if got, err := io.ReadAll(r); string(got) != "efgh" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
}
