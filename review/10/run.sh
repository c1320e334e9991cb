#!/usr/bin/env bash
# BUDGET: a request that crashes workers is let through again after each kill of all VMs.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../play-2.sh"
# TROUBLE=0 plays the same without the disruption, and must pass.
play poison "$here" "${TROUBLE:-1}"
