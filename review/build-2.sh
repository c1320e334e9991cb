#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into review/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
GOWORK=$PWD/review/standin2.work go build -o review/bin/standin2 ./review/standin2
