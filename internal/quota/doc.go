// Package quota bounds how many requests of a tenant are admitted over all nodes together.
//
// A tenant's token bucket is divided into slices. Each control node holds a leased
// share of every bucket, grants tokens out of its slice (Allocator), and lends to the
// others. Data plane nodes draw tokens, which expire soon, and spend one for each request
// (TokenCache). A token is spent once or lost; none is ever returned. TokenRequest and
// TokenGrant are the messages between them.
//
// So that a control node that restarts need not begin with empty slices, an Allocator
// works out low watermarks: levels below which it grants nothing until the disk holds lower
// ones.
//
// Time is passed in; the package does no input or output.
package quota
