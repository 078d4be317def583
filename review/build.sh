#!/bin/bash
# Builds every stand-in that a case starts. They are Python programs of the standard library: nothing is compiled, the
# syntax of each is checked.
cd "$(dirname "$0")" || exit 1
for file in standins.py [0-9]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
