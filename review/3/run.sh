#!/usr/bin/env bash
# See claim.txt. Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
exec python3 -B "$(dirname "$0")/case.py"
