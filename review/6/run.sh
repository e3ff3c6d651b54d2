#!/bin/sh
# Writes record.txt beside this script. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
# TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
export PYTHONPATH=.:review
exec .venv/bin/python review/6/case.py
