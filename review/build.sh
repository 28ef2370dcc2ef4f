#!/usr/bin/env bash
# Builds the stand-ins of the cases. It needs the build of the deploy file beside it.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/standin
