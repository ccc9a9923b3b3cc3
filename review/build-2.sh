#!/bin/sh
# The stand-ins of the scripts 4 to 6 are Python files that need no more than
# the libraries of target/deps, which the build of the deploy file has laid
# there. This checks that they can be loaded, the project's own ones too.
set -eu
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:.
python3 -c 'import standins.platform_store, standins.ports, review.stand'
for case in review/[4-6]/case.py; do
  folder=$(dirname "$case")
  python3 -c "import importlib; importlib.import_module('review.${folder#review/}.case')"
done
