#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are plain JavaScript that node runs as it is, so this only checks that node can read them.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-2/*.js; do
	node --check "$file"
done
