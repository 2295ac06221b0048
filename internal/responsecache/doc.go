// Package responsecache holds cacheable responses of leafs in memory. It does no I/O.
//
// A [Response] is one version of an object and never changes. A [Cache] holds
// responses up to a number of bytes, and drops what purges name
// ([Cache.ApplyPurges]). The caller checks whether a response is fresh, and fetches new
// ones; see package objectcache.
package responsecache
