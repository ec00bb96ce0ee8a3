// Package peer holds the links between the fleet's own instances: TCP, yamux
// streams and protobuf frames.
package peer

// protocolVersion is the version in the hello; a link between two versions is
// refused.
const protocolVersion = 1
