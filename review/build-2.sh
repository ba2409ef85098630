#!/bin/sh
# Builds what the scripts of review/9 and later start beside the programs of the deploy file. Their stand-ins are plain modules
# for Node.js in review/lib-2, which need no build; this checks that they can be read.
cd "$(dirname "$0")" || exit 1
for file in lib-2/*.mjs 9/case.mjs 1[0-3]/case.mjs; do
  [ ! -e "$file" ] || node --check "$file" || exit 1
done
