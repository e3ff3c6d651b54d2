#!/bin/sh
# Builds the stand-ins of the cases: they are Python programs on the standard library, run by the interpreter that
# the deploy file's build leaves in .venv.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q review
