#!/bin/sh
# Builds the stand-ins of case 6: they are Python without dependencies, so this
# only compiles them, which shows that they are complete. Run it after the deploy file's build.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile standins-2/deployment.py
python3 -m py_compile 6/case.py
