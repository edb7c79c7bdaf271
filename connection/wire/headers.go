package wire

// HTTP headers between callers and entries.
const (
	HeaderAccount        = "Waxwingpost-Account"
	HeaderPriority       = "Waxwingpost-Priority"
	HeaderDeadlineMs     = "Waxwingpost-Deadline-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "Waxwingpost-Request-Id"
	HeaderCode           = "Waxwingpost-Code" // result code
	HeaderRan            = "Waxwingpost-Ran"  // whether the request ran
	HeaderVersion        = "Waxwingpost-Version"
	HeaderBackend        = "Waxwingpost-Backend"
	HeaderRetryAfter     = "Retry-After"
)

// HTTP headers between entries, agents and backend servers, in addition to those
// above.
const (
	HeaderToken       = "Waxwingpost-Token" // issued with a heartbeat, see session.Leases
	HeaderIncarnation = "Waxwingpost-Incarnation"
	HeaderAttempt     = "Waxwingpost-Attempt"
	HeaderEntry       = "Waxwingpost-Entry"
	// HeaderAgent names the agent that requests a chunk from another agent.
	HeaderAgent = "Waxwingpost-Agent"
	// HeaderResumeOffset is the index of the first server-sent event to send when
	// a stream is resumed. Events are numbered from 0.
	HeaderResumeOffset = "Waxwingpost-Resume-Offset"
	// HeaderMaxInFlight makes the agent refuse a dispatch while it has that many
	// requests in flight or more. No header means no limit.
	HeaderMaxInFlight = "Waxwingpost-Max-In-Flight"
	// HeaderInFlight is set in responses and refusals of an agent to its number of
	// requests in flight, including this one.
	HeaderInFlight = "Waxwingpost-In-Flight"
	// HeaderWaiting is set in a dispatch while requests are queued at the entry.
	HeaderWaiting = "Waxwingpost-Waiting"
	// HeaderWaitingEntries is set in responses and refusals of an agent to the number
	// of entries from which it recently received a dispatch with HeaderWaiting.
	HeaderWaitingEntries = "Waxwingpost-Contenders"
)

// HTTP paths that an agent serves.
const (
	// PathDispatch is the prefix of the caller's path in a dispatched request.
	PathDispatch = "/v1/dispatch"
	// PathAttempt accepts lookups and tombstones of attempts.
	PathAttempt = "/v1/attempt"
	// PathChunks is followed by the digest of a chunk.
	PathChunks = "/v1/chunks/"
	// PathHeldChunks returns which chunks of a manifest the agent holds.
	PathHeldChunks = "/v1/have"
)

// HTTP paths that every process serves to its peers and operators.
const (
	PathState   = "/v1/state"
	PathExplain = "/v1/explain"
	PathMetrics = "/metrics"
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	// PathProfiles is the prefix of the Go runtime's profiles.
	PathProfiles = "/debug/pprof/"
)

// HTTP paths of the engine interface, which backend servers implement.
const (
	PathEngineReport = "/engine/report"
	PathEngineLoad   = "/engine/load"
	PathEngineUnload = "/engine/unload"
	PathEngineDrain  = "/engine/drain"
	PathEngineCancel = "/engine/cancel"
	PathChat         = "/v1/chat/completions"
)

// Names of the files that a weight source serves under a version's path.
const (
	SourceManifest = "manifest.json"
	SourceContent  = "content"
)
