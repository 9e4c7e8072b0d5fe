#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
