#!/bin/sh
# Builds the stand-ins of review/12, 13 and 15 into review/bin.
set -eu
cd "$(dirname "$0")/.."
GOWORK="$PWD/review/standin3.work" go build -o review/bin/standin3 ./review/standin3
