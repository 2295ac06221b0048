package main

import (
	"math"
	"math/rand/v2"
	"time"
)

// The service of the cases, as the small deployment radarhall has it.
const (
	archiveLeafs = 15
	workMean     = 0.160 // seconds
	workSpread   = 0.5
	workMost     = 0.960
)

// archiveWork draws the work of one request.
func archiveWork() time.Duration {
	seconds := workMean * math.Exp(workSpread*rand.NormFloat64()-workSpread*workSpread/2)
	return time.Duration(min(seconds, workMost) * float64(time.Second))
}

// archiveConfiguration is a configuration with one route to the service.
func archiveConfiguration() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-piece", "hostname": "file10.example", "pathPrefix": "/gozi722/", "routeKind": "safe",
			"timeoutMs": 4000, "targetLatencyMs": 800, "priority": 2, "service": "archive", "maxAttempts": 2,
		}},
		"services": []any{map[string]any{
			"name": "archive", "healthPath": "/health", "connectionLimit": 120, "protocol": "h1", "tlsEnabled": false,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}
