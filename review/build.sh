#!/bin/sh
# The stand-ins of the scripts are Python files that need no more than the
# libraries of target/deps, which the build of the deploy file has laid there.
# This checks that they can be loaded.
set -eu
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
PYTHONPATH=target/deps:. python3 -c 'import review.links, review.rig'
