#!/bin/sh
# Builds the stand-ins of the second review's cases. The gateway is built by the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/azurelead-review-2 ./review/second
