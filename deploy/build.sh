#!/bin/sh
# Puts the gateway's libraries and the package into target/deps. What is there
# already and the same is left alone: other runs may be using it.
set -eu
stamp=target/deps/.requirements
if ! cmp -s deploy/requirements.txt "$stamp"; then
  rm -rf target/deps
  mkdir -p target/deps
  python3 -m pip install -q --no-deps --target target/deps \
    -r deploy/requirements.txt
  cp deploy/requirements.txt "$stamp"
fi
if ! diff -rq -x __pycache__ src/wayslip target/deps/wayslip >/dev/null 2>&1
then
  rm -rf target/wayslip.new target/wayslip.old
  cp -r src/wayslip target/wayslip.new
  if [ -d target/deps/wayslip ]; then
    mv target/deps/wayslip target/wayslip.old
  fi
  mv target/wayslip.new target/deps/wayslip
  rm -rf target/wayslip.old
fi
