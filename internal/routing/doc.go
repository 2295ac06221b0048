// Package routing owns the operator's configuration: its format, its validation,
// its amendments, and the compiled table that finds the route of a request.
//
// [Parse] decodes and validates a complete configuration, and [ParseAmendment] a
// change, which [Amendment.Apply] applies to the configuration in force. [Decode]
// decodes a configuration that was validated before it was distributed. [Compile]
// makes the immutable [RouteTable] in which the data plane looks up requests:
//
//	table := routing.Compile(configuration)
//	route := table.Match(request.Host, request.URL.Path)
package routing
