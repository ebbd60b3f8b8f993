#!/usr/bin/env bash
# Runs the case from the repository's root with the command of the deploy file. Status: 1 broken, 0 held, 2 could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
RUN_COMMAND=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
[ -n "$RUN_COMMAND" ] || { echo "cannot run: no run in deploy/balancer.toml" >&2; exit 2; }
export RUN_COMMAND
program=${CARGO_TARGET_DIR:-target}/review/case-$(basename "$here")
[ -x "$program" ] || { echo "cannot run: review/build.sh has not been run" >&2; exit 2; }
timeout -k 5 110 "$program" "$here/record.txt"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
