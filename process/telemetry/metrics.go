package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

const metricsInterval = time.Second

// NewMetrics returns the root scope of a process, the handler that serves its
// metrics, and a closer that flushes them and stops reporting. A metric that can't
// be registered is omitted and never stops the process.
func NewMetrics(process string) (tally.Scope, http.Handler, io.Closer) {
	reporter := promreporter.NewReporter(promreporter.Options{OnRegisterError: func(error) {}})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "waxwingpost",
		Tags:            map[string]string{"process": process},
		CachedReporter:  reporter,
		Separator:       promreporter.DefaultSeparator,
		SanitizeOptions: newSanitizeOptions(),
	}, metricsInterval)
	return scope, reporter.HTTPHandler(), closer
}

// newSanitizeOptions replaces characters that the reporter rejects in metric
// names, such as the dots in the scope's own metrics. Label values may contain all
// characters of VM names.
func newSanitizeOptions() *tally.SanitizeOptions {
	opts := promreporter.DefaultSanitizerOpts
	opts.ValueCharacters = tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: append([]rune{'.', ':', '/'}, tally.UnderscoreDashCharacters...),
	}
	return &opts
}
