// Package controlclient is the client of the control plane on each node of the data plane
// and on each object cache.
//
// A Client keeps an update stream: one long poll at a time fetches distribution.Updates from
// a control node (RunUpdates). They are applied to the node's state, which only moves
// forward: the route table in force, the endpoints, the purges, the other nodes. The client
// also updates the upstreams and the retry budget, and calls the functions that were set
// with the On methods.
//
// A Client also takes part in failure detection (RunHeartbeats), sends and receives the
// datagrams of quotas and usage (Send), and sends updates to nodes that reach no control
// node (InternalHandler).
//
// A program makes one Client with New, sets the On functions, runs RunUpdates and
// RunHeartbeats until the end, and ends both with Close.
package controlclient
