#!/bin/sh
# The stand-ins need nothing but Python's standard library; this checks that they load.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile standins.py [0-9]*/run.py
