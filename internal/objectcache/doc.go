// Package objectcache is the cache of the objects of cacheable routes, in two tiers.
//
// A Server is a cache node. It keeps objects for all data plane nodes, in memory and
// on disk, and reads them from their origins. A Client is a data plane node's side: a small
// cache of its own in front of the servers. Rendezvous hashing gives each object an order of
// servers that all nodes agree on; the first healthy one is asked.
//
// In both, a Fetcher joins the concurrent fetches of one object and prevents purged objects
// from being served or kept. A Server limits its reads of origins to its leased share of each
// service's rate (package ratelimit). Reads beyond it are queued: the ones with the most
// waiting requests begin first, and the ones that would wait too long are rejected at once.
// For a call on a route that is not cacheable to a service with a rate, a data plane node
// asks a Server for a permit (Client.Permit); the call counts like the server's own reads.
//
// The structs with cbor tags are sent and stored: the numbers, bucket names and keys must not
// change.
package objectcache
