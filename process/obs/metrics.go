package obs

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

const metricsInterval = time.Second

// NewMetrics returns the root scope of a process and the handler that serves
// its metrics. Closing the closer flushes and stops reporting. A metric that
// can't be registered is left out; it never stops the process.
func NewMetrics(process string) (tally.Scope, http.Handler, io.Closer) {
	reporter := promreporter.NewReporter(promreporter.Options{OnRegisterError: func(error) {}})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "waxwingpost",
		Tags:            map[string]string{"process": process},
		CachedReporter:  reporter,
		Separator:       promreporter.DefaultSeparator,
		SanitizeOptions: sanitizeOptions(),
	}, metricsInterval)
	return scope, reporter.HTTPHandler(), closer
}

// sanitizeOptions makes names that the reporter takes: it refuses dots, which
// the scope's own metrics have. Label values keep the names of VMs as they are.
func sanitizeOptions() *tally.SanitizeOptions {
	opts := promreporter.DefaultSanitizerOpts
	opts.ValueCharacters = tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: append([]rune{'.', ':', '/'}, tally.UnderscoreDashCharacters...),
	}
	return &opts
}
