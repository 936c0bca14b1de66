#!/usr/bin/env bash
# Builds what the cases of the second review need beside the deploy file's
# build: their stand-ins are Python programs of review/common-2, so they are
# only checked for syntax here.
set -euo pipefail
cd "$(dirname "$0")"
for file in common-2/stand.py {6,7,8,9,10}/case.py; do
  [ ! -e "$file" ] || python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
