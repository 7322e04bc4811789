#!/usr/bin/env bash
# Puts the libraries and this project's own packages under target/deps.
set -euo pipefail
mkdir -p target
if ! cmp -s deploy/requirements.txt target/requirements.txt; then
  rm -rf target/deps target/requirements.txt
  python3 -m pip install -q --disable-pip-version-check --no-deps \
    --target target/deps -r deploy/requirements.txt
  cp deploy/requirements.txt target/requirements.txt
fi
for package in saddledoor saddledoord; do
  rm -rf "target/deps/$package"
  cp -R "packages/$package/src/$package" "target/deps/$package"
done
