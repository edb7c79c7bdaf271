// Package e2e tests the real processes under kill -9, SIGSTOP and SIGTERM. The
// tests check guarantees with the callers' histories and the counters of the fake
// servers, not with what the system reports about itself.
package e2e
