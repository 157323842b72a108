#!/bin/sh
# Runs the case; the exit status is 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec .venv/bin/python review/6/case.py
