package frontend

import "time"

const (
	// balancerDelay is how long the load balancer takes to stop sending new requests:
	// it checks readiness every second and reacts to the second failure.
	balancerDelay = 2800 * time.Millisecond
	// answerMargin is the time before the end of a shutdown in which the requests that are
	// still in progress are answered, and answerPart the part of a short grace period.
	answerMargin = 300 * time.Millisecond
	answerPart   = 25
	// exitMargin is the time of the grace period that is reserved for the exit, and exitPart
	// the part of a short one.
	exitMargin = 600 * time.Millisecond
	exitPart   = 8
)

// drainTimes are the times of a shutdown, from its signal.
type drainTimes struct {
	// refuse is when new requests are refused. Those that arrive later could not end.
	refuse time.Duration
	// answer is when requests in progress are answered with an error.
	answer time.Duration
	// exit is when the process exits although requests are in progress.
	exit time.Duration
}

// drainTimesFor returns the times of a shutdown within a grace period. Requests may go on until
// its last sixth.
func drainTimesFor(grace time.Duration) drainTimes {
	exit := grace - min(exitMargin, grace/exitPart)
	return drainTimes{refuse: min(balancerDelay, grace/2), answer: exit - min(answerMargin, grace/answerPart), exit: exit}
}
