#!/bin/sh
# Runs the case; TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken,
# with 0 if it held, and with 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}" exec python3 case.py
