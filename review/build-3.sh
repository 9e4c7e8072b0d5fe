#!/bin/sh
# Builds the stand-ins of cases 11 to 15. They need Python's standard library
# only, so that compiling them is enough; the cases start no others.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q harness-3
