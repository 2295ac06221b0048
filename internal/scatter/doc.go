// Package scatter forwards a client's request to the endpoints of its route and
// builds the reply. A route without fan-out sends the request to one endpoint of one
// service. A fan-out sends it to one endpoint of each shard and merges the responses.
//
// A [Dispatcher] serves all requests of a node. Each call of
// [Dispatcher.Dispatch] runs one fanOut in the calling goroutine, with one shard
// for each service (a route without fan-out has a single shard) and one attempt
// for each endpoint that is tried for a shard. Each attempt makes its call in a
// separate goroutine and is sent to the fan-out over a channel when the call ends.
// Only the fan-out decides what follows:
//
//   - an attempt that could not be sent is replaced immediately;
//   - an attempt that an endpoint rejected or that failed is retried on another
//     endpoint, within the route's attempt limit and the retry budget;
//   - an attempt that exceeds the route's hedge delay, which is its 95th latency
//     percentile once enough samples exist, is hedged by a second attempt at another
//     endpoint.
//
// For a request that is not idempotent, at most one attempt may have been executed
// by an endpoint. A fan-out ends when every shard has answered or failed, when too few
// shards can still answer, or when its deadline has passed. Once enough shards have
// answered, it ends shortly before its target latency has passed. It also ends when the
// client disconnects, except that a call of a request that is not idempotent runs to
// completion. Attempts that are under way when a fan-out ends run until the request's
// deadline at the latest, and their responses are discarded.
package scatter
