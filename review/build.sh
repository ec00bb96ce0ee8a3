#!/usr/bin/env bash
# Builds the program that plays the cases, with all of their stand-ins. It needs the Go toolchain and the modules of the
# daemon, and no others. The daemon itself is built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-cases ./review/_cases
