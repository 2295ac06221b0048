// Package routing owns the operator's configuration: its format, its validation,
// its amendments, and the compiled table that finds the route of a request.
//
// [Parse] decodes and validates a whole configuration, [ParseAmendment] a change
// of one, which [Amendment.Apply] brings onto the configuration in force. [Decode]
// reads one that was validated before, on its way through the fleet. [Compile]
// makes the immutable [RouteTable] that the data plane looks up requests in:
//
//	table := routing.Compile(configuration)
//	route := table.Match(request.Host, request.URL.Path)
package routing
