#!/bin/sh
# The stand-ins of the scripts are Python of the standard library: building them is compiling them.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q common 2 3
