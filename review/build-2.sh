#!/bin/sh
# Builds the stand-ins that the scripts of this review start. They need Python's standard library
# alone; the project's programs come from the build of the deploy file. Checks that all of it is there.
set -e
cd "$(dirname "$0")/.."
for file in review/common/*.py review/common-2/*.py review/[4-8]/*.py; do
    [ ! -f "$file" ] || python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
PYTHONPATH=target/deps python3 -B -S -c 'import tornado, orjson, attrs, httptools'
