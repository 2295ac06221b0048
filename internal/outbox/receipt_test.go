package outbox

import "testing"

// TestReceiptKeyUse: a receipt distinguishes a repeated request from a different request with the
// same idempotency key.
func TestReceiptKeyUse(t *testing.T) {
	same, other := Digest([]byte("a")), Digest([]byte("b"))
	receipt := &Receipt{Fingerprint: same, Status: 200}
	for _, c := range []struct {
		receipt     *Receipt
		fingerprint []byte
		want        KeyUse
	}{
		{nil, same, KeyUnused},
		{receipt, same, KeyRepeated},
		{receipt, other, KeyConflicting},
	} {
		if got := c.receipt.Compare(c.fingerprint); got != c.want {
			t.Errorf("receipt %v, fingerprint %x: Compare returned %d, want %d", c.receipt, c.fingerprint, got, c.want)
		}
	}
}
