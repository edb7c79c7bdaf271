// Package result defines the numbered result codes in responses, errors and log
// lines, and the error type that carries them.
//
// The meaning of a code never changes. A test checks docs/result-codes.md against
// Table. All functions are safe for concurrent use.
package result

// Code is a numbered result. Its thousands digit is the area.
type Code int

// OK, and the codes of the configuration and its folder (1xxx).
const (
	OK               Code = 0
	FileUnreadable   Code = 1001
	FileNotRegular   Code = 1002
	FileTooLarge     Code = 1003
	FileNotUTF8      Code = 1004
	FileSyntax       Code = 1005
	UnknownKey       Code = 1006
	WrongType        Code = 1007
	BadValue         Code = 1008
	BrokenReference  Code = 1009
	TooManyFiles     Code = 1010
	EditConflict     Code = 1011
	NotDecided       Code = 1012
	FolderSuspicious Code = 1013
	BadSetting       Code = 1014
	NotFound         Code = 1015
)

// Codes of the control state (2xxx).
const (
	NoQuorum        Code = 2001
	NotLeader       Code = 2002
	LogDamaged      Code = 2003
	DiskFailed      Code = 2004
	WrongCluster    Code = 2005
	NotMember       Code = 2006
	ProposalLost    Code = 2007
	SnapshotDamaged Code = 2008
	VersionConflict Code = 2009
	BadCommand      Code = 2010
	StaleBasis      Code = 2011
)

// Codes of requests (3xxx).
const (
	BadRequest         Code = 3001
	UnknownAccount     Code = 3002
	UnknownService     Code = 3003
	QueueFull          Code = 3004
	DeadlineTooShort   Code = 3005
	DeadlineExceeded   Code = 3006
	NoBackend          Code = 3007
	BackendFailed      Code = 3008
	AnswerCut          Code = 3009
	OutcomeUnknown     Code = 3010
	KeyReused          Code = 3011
	KeyExpired         Code = 3012
	Draining           Code = 3013
	VersionMismatch    Code = 3014
	StaleLease         Code = 3015
	AttemptTombstoned  Code = 3016
	CallerGone         Code = 3017
	WrongIncarnation   Code = 3018
	CutOff             Code = 3019
	RateExceeded       Code = 3020
	InProgress         Code = 3021
	AnswerNotKept      Code = 3022
	RecordsFull        Code = 3023
	AlreadyRan         Code = 3024
	NotSynced          Code = 3025
	PromptQuarantined  Code = 3026
	RequestQuarantined Code = 3027
	RegionUnavailable  Code = 3028
	ZoneEvacuated      Code = 3029
	MemoryLimit        Code = 3030
)

// Codes of weights, versions and orders (4xxx).
const (
	ChunkCorrupt     Code = 4001
	ChunkMissing     Code = 4002
	SourceThrottled  Code = 4003
	SourceFailed     Code = 4004
	ManifestInvalid  Code = 4005
	SpoolFull        Code = 4006
	StaleFence       Code = 4007
	EngineRefused    Code = 4008
	EngineMismatch   Code = 4009
	OrderSuperseded  Code = 4010
	FenceUnknown     Code = 4011
	EngineUnreadable Code = 4012
)

// Codes of links between processes (5xxx).
const (
	Unauthenticated Code = 5001
	NameTaken       Code = 5002
	LinkLost        Code = 5003
	BadMessage      Code = 5004
	ProtocolVersion Code = 5005
	Internal        Code = 5006
)
