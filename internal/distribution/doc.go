// Package distribution defines the messages by which the control plane keeps the nodes of
// the data plane and the object caches up to date, and the rules by which a receiver
// decides whether a message applies to the state that it holds.
//
// A node sends an UpdateRequest that names the versions it holds, and the control plane
// responds, by long polling, with an Update of the parts that are newer: the
// configuration (ConfigUpdate), the endpoints of services (EndpointList), ejection marks
// (EjectionMarks), the directory of nodes (NodeList), purges (PurgeUpdate) and
// notifications of the outbox (NotificationUpdate). Each part carries its own version, and
// a receiver only moves to a higher version, so a late or repeated response changes nothing.
//
// A configuration, an endpoint list or a node list is sent in full or as the changes since a
// base version. Changes apply only to exactly that base. DeltaTable computes the changes of
// endpoint lists and node lists.
//
// The numbers in the cbor tags are the wire format between processes of different
// releases: they must not change.
//
// The package does no I/O.
package distribution
