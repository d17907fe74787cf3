#!/usr/bin/env bash
# Exits with 1 if a request was passed on and cut without an answer around a planned stop, 0 if
# the rule held, 2 if the case couldn't run. TROUBLE=0 leaves the reload signal out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lugspur-sidecar ] && [ -x target/review/reload ] || { echo "not run: build first"; exit 2; }
exec target/review/reload -record review/3/record.txt
