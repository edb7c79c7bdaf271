package settings

// Intake holds the settings of the limits on callers. Zero means the default, which for the
// last four derives from the first two; see package intake.
type Intake struct {
	MemoryMB          int64 `help:"Memory of this VM in MiB, from which the limits on callers derive. 0: 1024 is assumed." env:"WAXWINGPOST_MEMORY_MB" name:"memory-mb" default:"0"`
	MaxDescriptors    int   `help:"Descriptors that this process may open. 0: the limit of the operating system, at most 16384." env:"WAXWINGPOST_MAX_DESCRIPTORS" default:"0"`
	MaxConnections    int   `help:"Connections that this process accepts at a time. 0: half of the descriptors." env:"WAXWINGPOST_MAX_CONNECTIONS" default:"0"`
	MaxHeaderBytes    int   `help:"Size of one request's header section. 0, and the least: 16384." env:"WAXWINGPOST_MAX_HEADER_BYTES" default:"0"`
	HeaderMemoryBytes int64 `help:"Memory for all header sections. 0: a sixteenth of the memory. At least 2 MiB." env:"WAXWINGPOST_HEADER_MEMORY_BYTES" default:"0"`
	BodyMemoryBytes   int64 `help:"Memory for all request bodies that are held. 0: an eighth of the memory. At least 9 MiB." env:"WAXWINGPOST_BODY_MEMORY_BYTES" default:"0"`
}

func (i *Intake) check(p *problems) {
	for flag, value := range map[string]int64{
		"memory-mb": i.MemoryMB, "max-descriptors": int64(i.MaxDescriptors), "max-connections": int64(i.MaxConnections),
		"max-header-bytes": int64(i.MaxHeaderBytes), "header-memory-bytes": i.HeaderMemoryBytes, "body-memory-bytes": i.BodyMemoryBytes,
	} {
		if value < 0 {
			p.add(flag, "give 0 or more", "%d is negative", value)
		}
	}
}
