#!/bin/sh
# Puts the gateway's libraries and the package into target/deps.
set -eu
stamp=target/deps/.requirements
if ! cmp -s deploy/requirements.txt "$stamp"; then
  rm -rf target/deps
  mkdir -p target/deps
  python3 -m pip install -q --no-deps --target target/deps \
    -r deploy/requirements.txt
  cp deploy/requirements.txt "$stamp"
fi
rm -rf target/deps/wayslip
cp -r src/wayslip target/deps/wayslip
