// Package proxy implements the data plane of one node: it reads client requests, decides
// whether to admit them, forwards them according to the route table in force, and writes
// the replies.
//
// A [Server] connects the parts. Its owner serves clients with [Server.Serve], other nodes
// with [Server.InternalHandler] and the platform's readiness checks with [Server.Readiness].
// It runs [Server.ReportUsage], [Server.CollectLatencies], [Server.RunMaintenance] and the
// control plane client that the server embeds, and stops all of them with [Server.Shutdown].
//
// exchange.handle performs all steps of a request: match its route, authenticate its
// tenant, read it within the limits, register it as pending, set its deadline, spend a
// token of its tenant's quota, and dispatch it, either to package scatter or, on
// cacheable routes, to package objectcache.
package proxy
