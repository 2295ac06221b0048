// Package objectcache is the cache of the objects of cacheable routes, in two tiers.
//
// A Server is a cache node. It keeps objects for all data plane nodes, in memory and
// on disk, and reads them from their origins. A Client is a data plane node's side: a small
// cache of its own in front of the servers. Each object has its servers in an order that all
// nodes agree on (rendezvous hashing); the first one that is healthy is asked.
//
// In both, a Fetcher joins the concurrent fetches of one object and keeps purged objects from
// being served or kept. A Server limits its reads of origins to its leased share of each
// service's rate (package ratelimit): when there are more, those that most requests wait for
// go first, and those that would wait too long are rejected at once. Calls that data plane
// nodes make to a service with a rate, on routes that are not cacheable, ask a Server for a
// permit (Client.Permit) and count like its own reads.
//
// The structs with cbor tags are sent and stored: the numbers, bucket names and keys must not
// change.
package objectcache
