#!/bin/sh
# Collects the dependencies and packages of an instance under target/deps.
set -eu
if ! [ target/deps/.installed -nt requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install -q --no-warn-script-location -c constraints.txt \
        --target target/deps -r requirements.txt
    touch target/deps/.installed
fi
rm -rf target/deps/tanagercourse
for part in packages/core packages/platform packages/routing packages/quota \
    packages/gateway packages/following packages/instance platform; do
    cp -r "$part/src/tanagercourse" target/deps/
done
# The fake platform is used only by tests.
rm -rf target/deps/tanagercourse/standin
python3 -m compileall -q target/deps/tanagercourse
