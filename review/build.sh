#!/usr/bin/env bash
# Builds the stand-ins that the cases' scripts start. The gateway comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin ./review
