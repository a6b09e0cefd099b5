#!/bin/sh
# Builds the stand-ins of review/lab, which the scripts of the cases 6 and later start. It needs
# the Go toolchain only: the module has no dependencies.
set -eu
cd "$(dirname "$0")/lab"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-lab .
