#!/usr/bin/env bash
# Stand-ins of the third review: plain modules for Node, without a build or a dependency.
set -euo pipefail
cd "$(dirname "$0")"
for file in scene-3.mjs replica-3.mjs 1[1-5]/run.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
