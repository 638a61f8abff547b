#!/bin/sh
# Builds the stand-ins of the scripted cases. They are in Python, with its standard library only, so
# there is nothing to compile; this checks that they can be loaded.
set -e
cd "$(dirname "$0")"
for file in lib/standin.py [1-5]/case.py; do
  /usr/bin/python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
