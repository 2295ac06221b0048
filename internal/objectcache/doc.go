// Package objectcache caches the objects of cacheable routes in two tiers.
//
// A Server is a cache node. It keeps objects for all data plane nodes, in memory and on disk, and
// reads them from their origins. A Client runs in a data plane node. It has a small in-memory
// cache and fetches other objects from the servers. Rendezvous hashing ranks the servers for each
// object in an order that all nodes agree on, and the first healthy server is asked. A Client
// prefers the servers of its region.
//
// Both use a Fetcher, which joins concurrent fetches of the same object and prevents purged
// objects from being served or kept. A Server limits its reads of origins to its leased share of
// each service's rate (package ratelimit). Reads beyond the share are queued: the read with the
// most waiting requests starts first, and a read that would wait too long is rejected at once.
// Before a data plane node calls a service with a rate on a route that is not cacheable, it asks
// a Server for a permit (Client.WaitForPermit). The call counts like the server's own reads.
//
// The structs with cbor tags are sent to other nodes and stored on disk. Their numbers, and the
// bucket names and keys on disk, must not change.
package objectcache
