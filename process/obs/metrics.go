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
// its metrics. Closing the closer flushes and stops reporting.
func NewMetrics(process string) (tally.Scope, http.Handler, io.Closer) {
	reporter := promreporter.NewReporter(promreporter.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "waxwingpost",
		Tags:           map[string]string{"process": process},
		CachedReporter: reporter,
		Separator:      promreporter.DefaultSeparator,
	}, metricsInterval)
	return scope, reporter.HTTPHandler(), closer
}
