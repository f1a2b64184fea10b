#!/bin/sh
# Runs the case in claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cranberryshed ] && [ -x target/review-3/rig ] || { echo "build first: the deploy file's build and review/build-3.sh"; exit 2; }
exec target/review-3/rig lookup-after-loss review/15/record.txt
