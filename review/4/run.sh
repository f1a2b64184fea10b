#!/usr/bin/env bash
# Runs the case long-stop. Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cranberryshed ] && [ -x review/bin/rig ] || exit 2
exec review/bin/rig long-stop review/4/record.txt
