// Package wal keeps what a replica must not forget: its identity, its log and
// its snapshots, in one data folder.
//
// # Files
//
//	identity          who this replica is and which cluster it belongs to
//	log-<number>      segments of the log, in order
//	snapshot-<index>  the state after an index, and the membership there
//	tmp-*             files being written; dropped at start
//	lock              held by the process that uses the folder
//
// # Records
//
// A segment is a series of records. A record is a header of 16 bytes, little
// endian, a body in CBOR and a byte that marks the end:
//
//	bytes 0-3    a fixed mark
//	bytes 4-7    length of the body
//	bytes 8-11   CRC-32C of the body, seeded with that of the record before
//	bytes 12-15  CRC-32C of bytes 0-11
//
// The chain of checksums runs through a segment, and segments are numbered
// without gaps, so that a record which is missing or stands in the wrong place
// is noticed as well as a flipped bit.
//
// Each call of Save writes one record, however many entries it carries, and
// syncs once: this is the group commit.
//
// # Promises
//
//   - When Save, SaveSnapshot or Install returns nil, what was passed survives
//     a crash. Replicas acknowledge only after that.
//   - A crash while a record is written leaves a torn tail: the file is short,
//     or some of its last sectors are zero. Nobody was told of that record, so
//     Open cuts it.
//   - Any other record that fails its checksum was once synced, and may have
//     been acknowledged. Open then returns result.LogDamaged, since a replica
//     that starts with less than it acknowledged could vote for a leader that
//     lacks a committed entry. SnapshotDamaged says the same of a snapshot.
//   - After a failed write or sync nothing is known of the file: the Log
//     refuses all further work with result.DiskFailed.
//   - Files are replaced whole: written under a temporary name, synced,
//     renamed, and the folder synced. A snapshot is in place before a part of
//     the log that it covers is removed.
//
// A Log is not safe for concurrent use, but for WriteSnapshot.
package wal
