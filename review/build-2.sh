#!/usr/bin/env bash
# Prepares the stand-ins of the second review. All that its scripts start, but the entry
# itself, are plain modules here; none of the project's own stand-ins is started, so
# that nothing has to be compiled or fetched.
set -euo pipefail
cd "$(dirname "$0")"
for file in scene-2.mjs store-2.mjs {6,7,8,9,10}/run.mjs; do
  node --check "$file"
done
test -f ../target/jackdawd.mjs
