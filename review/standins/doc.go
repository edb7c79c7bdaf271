// Command standins runs the scripted cases of the review. Each case starts the
// project's own programs as separate processes on loopback addresses, plays the
// platform, the operator, clients and engines against them over sockets, and
// judges only what those have seen.
//
// It uses the standard library only and is a module of its own, so that the
// project's build, linter and tests do not include it.
package main
