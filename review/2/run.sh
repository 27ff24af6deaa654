#!/bin/sh
# Exit 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0: no fault.
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../standins exec python3 case.py
