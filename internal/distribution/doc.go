// Package distribution defines the messages by which the control plane keeps the nodes of
// the data plane and the object caches up to date, and the rules by which a receiver
// decides whether a message applies to what it holds.
//
// A node sends an UpdateRequest that names the versions it holds, and the control plane
// answers, after a long poll, with an Update of the parts that are newer: the
// configuration (ConfigUpdate), the endpoints of services (EndpointList), ejection marks
// (EjectionMarks), the directory of nodes (NodeList), purges (PurgeUpdate) and
// notifications of the outbox (NotificationUpdate). Each part carries its own version, and
// a receiver only ever moves to a higher one, so that an answer that is late or repeated
// changes nothing.
//
// A part comes in full or as the changes since a base version. Changes apply only to
// exactly that base; DeltaTable keeps what the sender needs to work them out.
//
// The numbers in the cbor tags are the wire format between processes of different
// releases: they must not change.
//
// The package does no input or output.
package distribution
