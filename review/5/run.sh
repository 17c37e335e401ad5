#!/usr/bin/env bash
# Plays the case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/azurelead-gateway ] && [ -x target/review-standin ] || exit 2
exec target/review-standin restart target/azurelead-gateway review/5/record.txt
