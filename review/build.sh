#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases into target/. They use the standard
# library only.
set -euo pipefail
cd "$(dirname "$0")/standins"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-standins .
