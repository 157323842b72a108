#!/bin/sh
# Plays the case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
test -x .venv/bin/python || exit 2
exec .venv/bin/python "$here/case.py"
