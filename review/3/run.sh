#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
COMETHOLD_ROOT=$(cd ../.. && pwd) && export COMETHOLD_ROOT
[ -x ../bin/standin ] && [ -x "$COMETHOLD_ROOT/target/comethold" ] || { echo "build first" >&2; exit 2; }
timeout -k 3 116 ../bin/standin leave record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
