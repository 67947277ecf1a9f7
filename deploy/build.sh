#!/bin/sh
# Puts the pinned dependencies and our own packages into target/deps.
set -eu
if [ ! -e target/.installed ] || [ deploy/requirements.txt -nt target/.installed ]; then
    rm -rf target/deps
    # Source packages are built in isolation: these pin their build tools, for older and newer pip.
    PIP_CONSTRAINT=$PWD/constraints.txt PIP_BUILD_CONSTRAINT=$PWD/constraints.txt \
        python3 -m pip install --quiet --target target/deps --requirement deploy/requirements.txt
    touch target/.installed
fi
for package in wagtailkeel_state wagtailkeel_protocol wagtailkeel_coordination \
    wagtailkeel_transport wagtailkeel; do
    rm -rf "target/deps/$package"
done
cp -R packages/*/src/wagtailkeel* target/deps/
# The checkout is read-only when the roles run: compile here, not at each start.
python3 -m compileall -q target/deps/wagtailkeel* platform
