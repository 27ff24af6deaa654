#!/bin/sh
# Builds what the scripts of this review start: the instance, as the deploy file builds
# it. The stand-ins under review/standins-3 need the standard library only.
set -eu
cd "$(dirname "$0")/.."
sh deploy/build.sh
python3 -c "import ast, sys; ast.parse(open('review/standins-3/harness.py').read())"
