// Package latencyestimate estimates how long a slow lookup would have taken on the other
// replicas of its shard, from the durations of recent lookups of the same class, and finds
// replicas whose answers differ from each other.
//
// A Collector takes the Samples of requests without delaying them, keeps a Sketch of the
// durations for each Key, and remembers slow lookups with the Estimates for the other
// replicas. Where two replicas answered one lookup, it compares the actual duration with the
// estimate, and the answers with each other (CompareParts). Snapshots of several nodes are
// joined by MergeSnapshots.
//
// A lookup that was abandoned counts as a censored sample: it would have taken longer,
// nobody knows how long. Leaving it out would make a replica that stalls look quick.
//
// The package does no input or output.
package latencyestimate
