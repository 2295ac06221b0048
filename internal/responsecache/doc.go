// Package responsecache caches responses of leafs in memory. It does no I/O.
//
// A [Response] is one version of an object and is immutable. A [Cache] holds responses up to
// a number of bytes, and removes those that purges match ([Cache.ApplyPurges]). The caller
// checks whether a response is fresh, and fetches new ones; see package objectcache.
package responsecache
