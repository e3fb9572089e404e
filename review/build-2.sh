#!/bin/sh
# The stand-ins of the scripts in review/6 to review/10 are Python programs of the standard library: there is nothing
# to compile. Fails if they can't be read.
set -e
cd "$(dirname "$0")"
for file in harness/*.py [6-9]/*.py 10/*.py; do
  [ ! -e "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
