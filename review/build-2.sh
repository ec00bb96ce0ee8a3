#!/bin/bash
# Builds what the scripts of the cases 6 to 10 start beside the program of the deploy file: the project's stand-ins and those of
# the review. It uses the module's own packages and dependencies only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/standin ./test/standin
go build -o target/review-2/kit2 ./review/_kit2
