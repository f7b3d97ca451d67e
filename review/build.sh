#!/usr/bin/env bash
# The stand-ins of the scripts are plain JavaScript and need no build; this checks that each file can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs */run.mjs; do
	node --check "$file"
done
