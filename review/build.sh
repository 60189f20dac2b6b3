#!/usr/bin/env bash
# Checks the stand-ins; they need no build, and no module beside Node's own.
set -euo pipefail
cd "$(dirname "$0")"
for file in *.mjs [1-5]/*.mjs; do node --check "$file"; done
