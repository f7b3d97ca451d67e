#!/usr/bin/env bash
# Builds the stand-ins of cases 4 to 6. They are plain JavaScript for Node.js without dependencies, so there is nothing to compile; this checks that they load.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs 4/*.mjs 5/*.mjs 6/*.mjs; do
  node --check "$file"
done
