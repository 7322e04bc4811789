#!/usr/bin/env bash
# Builds the stand-ins of the cases 4, 5 and 6: they are scripts that need only the
# libraries of deploy/build.sh, so this checks that each compiles and can import them.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps ] || bash deploy/build.sh
export PYTHONPATH=target/deps:review PYTHONDONTWRITEBYTECODE=1
for name in stand_in_store stand_in_engine stand_in_link deployment trainer look_ups; do
  python3 -c "import $name"
done
