#!/usr/bin/env bash
# BUDGET: a request that crashes workers is let through again after each kill of all VMs.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../play-2.sh"
play poison "$here"
