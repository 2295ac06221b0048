// Package proxy is the data plane of one node: it reads clients' requests, decides
// whether they may pass, forwards them by the route table in force, and writes the
// replies.
//
// A [Server] connects the parts. Its owner serves clients with
// [Server.Serve], other nodes with [Server.InternalHandler] and the platform with
// [Server.Readiness], runs [Server.ReportUsage], [Server.CollectLatencies],
// [Server.RunMaintenance] and the client of the control plane that the server
// embeds, and ends all of them with [Server.Shutdown].
//
// exchange.handle shows all steps of a request: match its route, authenticate its
// tenant, read it within the limits, register it as pending, set its deadline, spend a
// token of its tenant's quota, and dispatch it, either to package scatter or, on
// cacheable routes, to package objectcache.
package proxy
