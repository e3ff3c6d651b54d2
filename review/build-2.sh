#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python and need nothing but the program's own environment,
# which the build of the deploy file makes: here they are only compiled, so that a syntax error shows now.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || exit 2
.venv/bin/python -m compileall -q review/parts2.py review/6 review/7 review/8 review/9 review/10 rig
