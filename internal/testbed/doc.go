// Package testbed runs the project's programs as processes on loopback addresses, and simulates the
// platform's instance list. Tests and tools that need real processes use it.
//
//	platform := &testbed.Platform{}
//	platform.Add(testbed.Instance{ID: "i-1", Service: "s", Address: "127.8.0.1:9000", State: testbed.Ready})
//	process, err := testbed.Start(ctx, testbed.Command{Binary: binary, Program: "data-plane", ...})
//	defer process.Kill()
package testbed
