#!/usr/bin/env bash
# Prepares the stand-ins of the second review: plain modules, which need no build.
set -euo pipefail
cd "$(dirname "$0")"
for file in bench-2/*.mjs {6,7,8,9,10}/*.mjs; do
  node --check "$file"
done
test -f ../target/jackdawd.mjs
