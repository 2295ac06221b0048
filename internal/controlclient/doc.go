// Package controlclient is the control plane client of data plane nodes and object caches.
//
// RunUpdates runs an update stream: it fetches distribution.Updates from a control node, with one
// long poll at a time, and applies them to the node's state: the route table, the endpoints, the
// purges and the directory of nodes. An older update never replaces newer state. The client also
// updates the upstreams and the retry budget, and calls the callbacks that are set with the On
// methods.
//
// A Client also takes part in failure detection (RunHeartbeats), sends and receives the
// datagrams of quotas and usage (Send), and serves updates to nodes that can't reach a control
// node (InternalHandler).
//
// A program creates one Client with New, sets the callbacks, runs RunUpdates and RunHeartbeats,
// and stops both with Close.
package controlclient
