#!/usr/bin/env bash
# Builds every stand-in that the cases of the second review start. The project's own programs are
# built by the command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
for main in review/[4-8]/main.go; do
	[ -e "$main" ] || continue
	number=$(basename "$(dirname "$main")")
	go build -tags review -o "target/review-2/$number" "./review/$number"
done
