#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-harness ./review/harness
