#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start: clients, leafs, platform and operator
# are one program. It needs Go and no module but the standard library's.
set -euo pipefail
cd "$(dirname "$0")/standin"
CGO_ENABLED=0 go build -trimpath -o ../bin/standin .
