#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps
python3 -c "import aiohttp, saddledoord" || exit 2
exec python3 -B review/6/case.py
