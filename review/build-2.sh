#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file and without a network. They are
# Python modules of the standard library alone: harness2.py and the case.py of each folder.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review/harness2.py review/6 review/7 review/8 review/9 review/10
