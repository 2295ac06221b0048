// Package routing defines the operator's configuration: its format, its validation,
// its amendments, and the compiled table in which the route of a request is looked up.
//
// [Parse] decodes and validates a complete configuration, and [ParseAmendment] a
// change, which [Amendment.Apply] applies to the configuration in force. [Decode]
// decodes a configuration that was validated before it was distributed. [Compile]
// returns the immutable [RouteTable] in which the data plane looks up routes:
//
//	table := routing.Compile(configuration)
//	route := table.Match(request.Host, request.URL.Path)
package routing
