package wire

// Headers between callers and entries.
const (
	HeaderAccount    = "Waxwingpost-Account"
	HeaderPriority   = "Waxwingpost-Priority"
	HeaderDeadlineMs = "Waxwingpost-Deadline-Ms"
	HeaderKey        = "Idempotency-Key"
	HeaderRequestID  = "Waxwingpost-Request-Id"
	HeaderCode       = "Waxwingpost-Code"
	HeaderRan        = "Waxwingpost-Ran"
	HeaderVersion    = "Waxwingpost-Version"
	HeaderBackend    = "Waxwingpost-Backend"
	HeaderRetryAfter = "Retry-After"
)

// Headers between entries, agents and backend servers, besides those above.
const (
	HeaderToken       = "Waxwingpost-Token"
	HeaderIncarnation = "Waxwingpost-Incarnation"
	HeaderAttempt     = "Waxwingpost-Attempt"
	HeaderEntry       = "Waxwingpost-Entry"
	// HeaderAgent names the agent that asks another for a chunk.
	HeaderAgent = "Waxwingpost-Agent"
	// HeaderResumeOffset is the index of the first server-sent event that is
	// still wanted of a stream; events count from 0.
	HeaderResumeOffset = "Waxwingpost-Resume-Offset"
	// HeaderMaxInFlight makes the agent refuse a dispatch while it passes that
	// many requests or more; absent means no limit.
	HeaderMaxInFlight = "Waxwingpost-Max-In-Flight"
	// HeaderInFlight tells in answers and refusals of an agent how many
	// requests it passes, this one included.
	HeaderInFlight = "Waxwingpost-In-Flight"
	// HeaderWaiting is set in a dispatch while requests wait at the entry.
	HeaderWaiting = "Waxwingpost-Waiting"
	// HeaderContenders tells in answers and refusals of an agent from how many
	// entries it lately had dispatches with HeaderWaiting.
	HeaderContenders = "Waxwingpost-Contenders"
)

// Paths of an agent's HTTP server.
const (
	// PathDispatch prefixes the caller's path in a dispatched request.
	PathDispatch = "/v1/dispatch"
	// PathAttempt takes lookups of and tombstones for attempts.
	PathAttempt = "/v1/attempt"
	// PathChunks prefixes the digest of a chunk.
	PathChunks = "/v1/chunks/"
	// PathHave tells which chunks of a manifest the agent holds.
	PathHave = "/v1/have"
)

// Paths that every process serves to its peers and operators.
const (
	PathState   = "/v1/state"
	PathExplain = "/v1/explain"
	PathMetrics = "/metrics"
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	// PathProfiles prefixes the runtime's profiles.
	PathProfiles = "/debug/pprof/"
)

// Paths of a backend server's engine interface.
const (
	PathEngineReport = "/engine/report"
	PathEngineLoad   = "/engine/load"
	PathEngineUnload = "/engine/unload"
	PathEngineDrain  = "/engine/drain"
	PathEngineCancel = "/engine/cancel"
	PathChat         = "/v1/chat/completions"
)

// Names of the files that a weight source serves below a version's path.
const (
	SourceManifest = "manifest.json"
	SourceContent  = "content"
)
