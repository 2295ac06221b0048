// Package scatter carries a client's request to the endpoints that a route names
// and makes the reply: to one endpoint of one service, or to one endpoint of
// each shard of a fan-out, whose responses it merges.
//
// A [Dispatcher] serves all requests of a node. Each call of
// [Dispatcher.Dispatch] runs one fanOut in the calling goroutine, with one shard
// for each service (a route without fan-out has a single shard) and one attempt
// for each endpoint that is tried for a shard. An attempt performs its call in a
// goroutine of its own, and sends itself to the fan-out when it has ended. Only
// the fan-out makes decisions:
//
//   - an attempt that could not be sent is replaced at once;
//   - an attempt that an endpoint rejected or that failed is retried on another
//     endpoint, as far as the route's attempt limit and the retry budget allow;
//   - an attempt that takes longer than most is hedged by another.
//
// A request that is not idempotent has at most one attempt that an endpoint may
// have executed. A fan-out ends when all shards answered or failed, when too few
// can still answer, when its deadline has passed, or, with enough shards
// answered, shortly before its target latency passes. Attempts still under way
// then end by the same deadline, and their responses are dropped.
package scatter
