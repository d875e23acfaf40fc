#!/bin/sh
# Builds the stand-ins that the scripts start. They are small and written in Python with its
# standard library alone, so there is nothing to compile: this checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in *.py ?/*.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
echo "review: stand-ins ready"
