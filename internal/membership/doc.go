// Package membership determines which nodes are members, which of them are live, and which of them
// reads the log for its zone. View is an immutable fold of join, leave and evict records. Detector
// detects dead peers with one probe per second. Elector elects the reader of a zone, and Parent
// defines the tree over which the zone distributes the records that the reader has read.
//
// The package does no I/O and reads no clock: the current time is an argument.
package membership
