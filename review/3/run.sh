#!/bin/bash
# Runs this case from the build of the deploy file and of review/build.sh. Exit code 1: the rule was broken, 0: it held,
# 2: the case couldn't run. TROUBLE=0 leaves the disruption out. record.txt has what was sent, answered and run.
set -um
cd "$(dirname "$0")/../.." || exit 2
driver=target/review/release/review-standins
[ -x "$driver" ] && [ -x target/release/hazelsaddle ] || { echo "build first: deploy/service.toml, review/build.sh" >&2; exit 2; }
ulimit -n 8192 2>/dev/null || ulimit -n "$(ulimit -Hn)"
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
# The driver and the controllers that it starts are one process group.
"$driver" orphaned review/3/record.txt &
group=$!
trap 'kill -KILL -- -"$group" 2>/dev/null; rm -rf "$TMPDIR"' EXIT
trap 'exit 2' HUP INT TERM
while [ "$SECONDS" -lt 118 ] && kill -0 "$group" 2>/dev/null; do
    sleep 0.1
done
if kill -0 "$group" 2>/dev/null; then
    echo "the case took too long" >&2
    exit 2
fi
wait "$group"
code=$?
# Anything else than the three codes means that the stand-ins failed.
[ "$code" -le 2 ] || code=2
exit "$code"
