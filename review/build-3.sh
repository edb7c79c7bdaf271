#!/bin/sh
# Builds the stand-ins of the third review into target/review-3. It needs no network: the stand-ins
# use the standard library only. The build of deploy/system.toml comes before it.
set -e
cd "$(dirname "$0")/standins-3"
mkdir -p ../../target/review-3
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-3/rig .
