#!/bin/sh
# Compiles the stand-ins that the cases start. They are Python and need the standard library alone;
# the node and its interpreter come from the `build` line of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
