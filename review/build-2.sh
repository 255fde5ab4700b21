#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10. They are Python programs with the standard library
# only, so that nothing has to be compiled: this checks that they can be read. The router itself is built by the
# line `build` of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for program in stand_ins_2.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$program"
done
