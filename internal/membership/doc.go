// Package membership knows which nodes exist, which of them live and which of
// them reads the log for its zone. View is an immutable fold over join, leave
// and evict records; Detector finds dead peers with one probe a second;
// Elector chooses the reader of a zone and Tree spreads what it read.
//
// Everything here is a decision without I/O: time comes in as an argument.
package membership
