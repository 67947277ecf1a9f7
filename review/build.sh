#!/bin/sh
# Builds the stand-ins of the cases: Python sources, compiled beside themselves.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins
