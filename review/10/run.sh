#!/bin/sh
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec python3 test.py
