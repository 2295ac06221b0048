// Package quota limits how many requests of a tenant all nodes together admit.
//
// A tenant's token bucket is divided into slices. Each control node holds a leased share of
// every bucket, grants tokens from its slice (Allocator) and lends tokens to other control
// nodes. Data plane nodes request tokens, which have a short lifetime, and spend one for each
// request (TokenCache). Data plane nodes never return tokens: a token is spent once or is lost.
// TokenRequest and TokenGrant are the messages between the nodes.
//
// An Allocator computes low watermarks, so that a control node that restarts does not start
// with empty slices. A low watermark is a level below which the Allocator grants no tokens
// until a lower one is stored on disk.
//
// The caller passes in the current time. The package does no I/O.
package quota
