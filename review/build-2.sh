#!/usr/bin/env bash
# Builds what the cases 6 to 10 start besides the service itself. Their stand-ins are plain modules of Node.js without
# dependencies (review/lib-2), so there is nothing to compile: they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs [0-9]*/case.mjs; do
  node --check "$file"
done
