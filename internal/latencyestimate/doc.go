// Package latencyestimate estimates how long a slow lookup would have taken on the other
// replicas of its shard, from the durations of recent lookups of the same class, and finds
// replicas whose answers differ from each other.
//
// A Collector receives the Samples of requests without delaying them, keeps a Sketch of the
// durations for each Key, and records slow lookups with the Estimates for the other
// replicas. If two replicas answered one lookup, it compares the actual duration with the
// estimate, and the answers with each other (CompareAnswers). MergeSnapshots merges the
// Snapshots of several nodes.
//
// An abandoned lookup counts as a censored sample: only a lower bound of its duration is
// known. Without such samples a replica that stalls would look fast.
//
// The package does no input or output.
package latencyestimate
