// Package e2e tests the real processes under kill -9, SIGSTOP and SIGTERM. The
// verdicts come from the callers' histories and from the stand-ins' own
// records, never from what the system says of itself.
package e2e
