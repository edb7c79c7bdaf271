package result

import (
	"fmt"
	"strings"
)

// Entry describes one code for operators and callers.
type Entry struct {
	Code    Code
	Name    string
	Meaning string
	Remedy  string
}

// Name returns the short name of the code, or "unknown".
func (c Code) Name() string {
	for i := range Table {
		if Table[i].Code == c {
			return Table[i].Name
		}
	}
	return "unknown"
}

// Table lists every code in ascending order.
var Table = []Entry{
	{OK, "ok", "done", "none"},
	{FileUnreadable, "file-unreadable", "a configuration file could not be read", "check its permissions and the disk"},
	{FileNotRegular, "file-not-regular", "the folder holds a symlink, directory or device where a file is expected", "replace it by a regular file"},
	{FileTooLarge, "file-too-large", "a configuration file exceeds the size limit", "split it"},
	{FileNotUTF8, "file-not-utf8", "a configuration file is not UTF-8", "save it as UTF-8"},
	{FileSyntax, "file-syntax", "a configuration file is not valid YAML", "correct the line in the message"},
	{UnknownKey, "unknown-key", "a key is not known", "remove it or correct its spelling"},
	{WrongType, "wrong-type", "a value has the wrong type", "use the type in the message"},
	{BadValue, "bad-value", "a value is out of range or malformed", "use a value in the allowed range"},
	{BrokenReference, "broken-reference", "a name refers to nothing in the merged configuration", "define it or correct the name"},
	{TooManyFiles, "too-many-files", "the folder holds more files than the limit", "merge some files"},
	{EditConflict, "edit-conflict", "the accepted file differs from the content that this edit is based on", "read the accepted file again and repeat the edit"},
	{NotDecided, "not-decided", "the change is not decided yet", "wait; the proposal is retried"},
	{FolderSuspicious, "folder-suspicious", "the folder is empty, missing or unmounted; this is never treated as a removal of its files", "mount the folder or restore its files"},
	{BadSetting, "bad-setting", "a flag or environment variable is wrong", "correct the setting in the message"},
	{NotFound, "not-found", "nothing is recorded under this name", "check the name; old records are dropped"},
	{NoQuorum, "no-quorum", "no majority of the control replicas could be reached", "restore the network or the control VMs"},
	{NotLeader, "not-leader", "this replica is not the leader", "try again; the client follows the leader"},
	{LogDamaged, "log-damaged", "a record before the end of the log fails its checksum", "move the data folder away and restart: the VM joins as a learner"},
	{DiskFailed, "disk-failed", "a write or sync of the data folder failed", "replace the disk; the VM joins as a learner"},
	{WrongCluster, "wrong-cluster", "the other process belongs to another cluster", "correct its addresses or data folder"},
	{NotMember, "not-member", "the replica is not a member of the control set", "add it to control.voters"},
	{ProposalLost, "proposal-lost", "the outcome of a proposal is unknown after the timeout", "send the same proposal again; it is idempotent"},
	{SnapshotDamaged, "snapshot-damaged", "a snapshot fails its checksum", "move the data folder away and restart: the VM joins as a learner"},
	{VersionConflict, "version-conflict", "a version is already registered with another manifest", "give the new weights a new version name"},
	{BadCommand, "bad-command", "a replicated command is malformed", "report it: this is a fault of the system"},
	{StaleBasis, "stale-basis", "a command is based on an earlier change than the last one, and was not applied", "none: the handler tries again with the last change"},
	{BadRequest, "bad-request", "the request is malformed", "correct it"},
	{UnknownAccount, "unknown-account", "no such client account", "add it to accounts or correct the header"},
	{UnknownService, "unknown-service", "no service accepts this model, method or path", "correct the request or the services"},
	{QueueFull, "queue-full", "the request could not be served in time", "retry after Retry-After"},
	{DeadlineTooShort, "deadline-too-short", "the deadline is shorter than the expected wait", "retry after Retry-After or allow more time"},
	{DeadlineExceeded, "deadline-exceeded", "the deadline passed", "retry with a longer deadline"},
	{NoBackend, "no-backend", "no backend server serves this now", "retry after Retry-After"},
	{BackendFailed, "backend-failed", "the backend server failed", "retry the request"},
	{AnswerCut, "answer-cut", "the response was interrupted and could not be resumed", "retry the request"},
	{OutcomeUnknown, "outcome-unknown", "the call may have run; it will not run again", "check with the service before sending a new call"},
	{KeyReused, "key-reused", "the Idempotency-Key was used with another body", "use a new key for a new call"},
	{KeyExpired, "key-expired", "the Idempotency-Key is older than the retention time", "check with the service before sending a new call"},
	{Draining, "draining", "the process is stopping and accepts no new requests", "retry the request; another VM handles it"},
	{VersionMismatch, "version-mismatch", "the backend server does not serve the version that the request was routed to", "retry immediately"},
	{StaleLease, "stale-lease", "the dispatch carried an expired lease token", "retry immediately"},
	{AttemptTombstoned, "attempt-tombstoned", "the attempt was canceled before it arrived", "none"},
	{CallerGone, "caller-gone", "the caller closed the connection", "none"},
	{WrongIncarnation, "wrong-incarnation", "the agent restarted since the attempt was reserved", "retry the request; its outcome is looked up"},
	{CutOff, "cut-off", "this entry is cut off from the control quorum", "retry after Retry-After; another VM may answer"},
	{RateExceeded, "rate-exceeded", "the client account exceeds its rate", "retry after Retry-After"},
	{InProgress, "in-progress", "a call under this Idempotency-Key is in progress", "retry after Retry-After with the same key"},
	{AnswerNotKept, "answer-not-kept", "the call ran; its answer was too large to keep", "read the result from the service"},
	{RecordsFull, "records-full", "no room for another record of a call that may not be repeated", "retry after Retry-After; lower requests.key_retention if it lasts"},
	{AlreadyRan, "already-ran", "a call under this Idempotency-Key ran; its recorded outcome is returned", "none"},
	{NotSynced, "not-synced", "this entry has started but has not yet read the configuration in force from a quorum", "retry after Retry-After; another VM may answer"},
	{PromptQuarantined, "prompt-quarantined", "a part of the prompt is suspected of crashing servers", "retry after Retry-After, or without that part"},
	{RequestQuarantined, "request-quarantined", "this request, repeated unchanged, is suspected of crashing servers", "retry after Retry-After, or send another request"},
	{RegionUnavailable, "region-unavailable", "no backend server in a region that the request may be served in can take it", "retry after Retry-After; check the allowed regions of the route and the account"},
	{ZoneEvacuated, "zone-evacuated", "all backend servers of the service are in evacuated availability zones", "retry after Retry-After; end an evacuation"},
	{MemoryLimit, "memory-limit", "the process holds as many bytes for callers as its limit allows", "retry after Retry-After; see docs/operators.md on callers outside the limits"},
	{ChunkCorrupt, "chunk-corrupt", "a chunk does not match its digest", "none: it is fetched again from another peer or source"},
	{ChunkMissing, "chunk-missing", "a peer does not hold the chunk", "none: it is fetched from another peer or source"},
	{SourceThrottled, "source-throttled", "the weight source reported that its rate limit is exceeded", "none: the request is retried later"},
	{SourceFailed, "source-failed", "the weight source failed", "check the source"},
	{ManifestInvalid, "manifest-invalid", "a manifest is malformed or does not match its digest", "publish the version again"},
	{SpoolFull, "spool-full", "the agent's spool has no room for the version", "enlarge the spool"},
	{StaleFence, "stale-fence", "an order carried a stale fence", "none: a newer order is in force"},
	{EngineRefused, "engine-refused", "the engine refused an order", "check the engine"},
	{EngineMismatch, "engine-mismatch", "the engine reports another version or digest than was ordered", "check the engine; it receives no requests until then"},
	{OrderSuperseded, "order-superseded", "a newer order replaced this one", "none"},
	{FenceUnknown, "fence-unknown", "the agent has not yet learned the current fence from a quorum", "none: it retries"},
	{EngineUnreadable, "engine-unreadable", "the engine's report could not be read", "check the engine"},
	{Unauthenticated, "unauthenticated", "the peer did not authenticate with the join key", "set the same join key on every VM"},
	{NameTaken, "name-taken", "another process holds this name under a live lease", "give each process its own name"},
	{LinkLost, "link-lost", "the link to the other process was lost", "none: it is opened again"},
	{BadMessage, "bad-message", "a message between processes could not be read", "run the same release on every VM"},
	{ProtocolVersion, "protocol-version", "the other process uses another protocol version", "run the same release on every VM"},
	{Internal, "internal", "an unexpected failure", "report it with the log line"},
}

// Markdown returns the content of docs/result-codes.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\n")
	b.WriteString("Printed by `waxwingpost codes`. Callers find the code in the header `Waxwingpost-Code`\n")
	b.WriteString("and in `Waxwingpost-Ran` whether the request ran; operators find the code in logs and status files as `code`.\n\n")
	b.WriteString("1xxx configuration, 2xxx control state, 3xxx requests, 4xxx weights and orders, 5xxx links.\n\n")
	b.WriteString("| code | name | meaning | remedy |\n|---|---|---|---|\n")
	for _, e := range Table {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Code, e.Name, e.Meaning, e.Remedy)
	}
	return b.String()
}
