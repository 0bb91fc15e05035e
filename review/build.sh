#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review to target/review. Needs the build of the deploy file, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
npx tsc -p review
