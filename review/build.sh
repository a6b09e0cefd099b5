#!/usr/bin/env bash
# Builds the stand-ins of the cases, which need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/harness"
mkdir -p ../bin
GOWORK=off GOPROXY=off GOTOOLCHAIN=local go build -o ../bin/cases .
