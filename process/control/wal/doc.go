// Package wal stores the persistent state of a replica, that is its identity,
// its log and its snapshots, in one data folder.
//
// # Files
//
//	identity          the IDs of this replica and its cluster
//	log-<number>      segments of the log, in order
//	snapshot-<index>  the state and the membership at an index
//	tmp-*             files being written; removed at start
//	lock              lock file of the process that uses the folder
//
// # Records
//
// A segment is a sequence of records. A record is a 16-byte little-endian
// header, a body in CBOR and an end marker byte:
//
//	bytes 0-3    magic number
//	bytes 4-7    length of the body
//	bytes 8-11   CRC-32C of the body, seeded with that of the previous record
//	bytes 12-15  CRC-32C of bytes 0-11
//
// The checksums are chained within a segment, and segments are numbered without
// gaps, so that missing and misplaced records are detected as well as flipped
// bits.
//
// Each call of Save writes one record for all its entries and syncs once (group
// commit).
//
// # Guarantees
//
//   - When Save, SaveSnapshot or Install returns nil, the data survives a crash.
//     Replicas acknowledge entries only after that.
//   - A crash during the write of a record leaves a torn record: the file is too
//     short, or some of its last sectors are zero. That record was never
//     acknowledged, so Open truncates it.
//   - Any other record with a wrong checksum was synced and may have been
//     acknowledged. Open then returns result.LogDamaged, because a replica that
//     starts with less than it acknowledged could vote for a leader that lacks
//     a committed entry. SnapshotDamaged is the equivalent for a snapshot.
//   - After a failed write or sync the content of the file is unknown. The Log
//     then rejects all further operations with result.DiskFailed.
//   - Files are replaced atomically: written under a temporary name, synced and
//     renamed, and the folder is synced. A snapshot is in place before the part
//     of the log that it covers is removed.
//
// A Log is not safe for concurrent use, except for WriteSnapshot.
package wal
