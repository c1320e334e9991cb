#!/bin/sh
# Builds the stand-ins that the scripts of the cases start: review/bin/standin.
set -eu
cd "$(dirname "$0")/.."
GOWORK="$PWD/review/go.work" go build -o review/bin/ ./review/standin
