// Package responsecache holds cacheable responses of leafs in memory, which may be
// given to other clients for a while. It does no I/O.
//
// A [Response] is one version of an object and never changes. A [Cache] holds
// responses up to a number of bytes, and drops what purges name
// ([Cache.ApplyPurges]). Whether a response is still fresh, and who fetches a new
// one, is up to the caller; see package objectcache.
package responsecache
