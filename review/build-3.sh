#!/usr/bin/env bash
# Builds the program that the scripts of review 3 start: stand-ins for the platform, the
# workers and the clients, and the proxies between the processes. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/rig3"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -o ../../target/rig3 .
