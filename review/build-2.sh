#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review. It needs no network: they use the
# standard library only. The program of the deploy file must have been built before.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
GOWORK=off go build -o ../../target/standins-2 .
