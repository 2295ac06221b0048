package numbering

import (
	"fmt"
	"strings"
	"testing"
)

func large(n int) []byte {
	var b strings.Builder
	b.WriteString(`{"version":3,"services":[{"name":"s","healthPath":"/health","connectionLimit":40,"protocol":"h1","tlsEnabled":false}],"limits":{},"routes":[`)
	for i := range n {
		if i > 0 {
			b.WriteString(",")
		}
		fmt.Fprintf(&b, `{"name":"r-%d","hostname":"h%d.example","pathPrefix":"/p%d/","routeKind":"safe","timeoutMs":1200,"targetLatencyMs":200,"priority":1,"service":"s","maxAttempts":2}`, i, i%40, i)
	}
	b.WriteString("]}")
	return []byte(b.String())
}

func BenchmarkRead(b *testing.B) {
	raw := large(1500)
	for b.Loop() {
		if _, err := Read(raw); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkCompile(b *testing.B) {
	raw := large(1500)
	c, _ := Read(raw)
	for b.Loop() {
		Compile(c)
	}
}
