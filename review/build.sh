#!/usr/bin/env bash
# The stand-ins are Python programs of the standard library only: this checks that each compiles.
set -euo pipefail
cd "$(dirname "$0")"
for program in *.py [1-5]/*.py; do
    [ -e "$program" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$program"
done
