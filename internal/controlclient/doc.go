// Package controlclient is the client of the control plane on each node of the data plane
// and on each object cache.
//
// A Client keeps an update stream: it polls one control node after another for
// distribution.Updates (RunUpdates) and applies them to the node's state, which only ever
// moves forward. From that state it serves the rest of the program: the route table in
// force, the endpoints, the purges known so far, the other nodes. It updates the upstreams and
// the retry budget, and calls the functions that were set with the On methods.
//
// A Client also takes part in failure detection (RunHeartbeats), sends and receives the
// datagrams of quotas and usage (Send), and answers nodes that find no control plane
// (InternalHandler).
//
// A program makes one Client with New, sets the On functions, runs RunUpdates and
// RunHeartbeats until the end, and ends both with Close.
package controlclient
