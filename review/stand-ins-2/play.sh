# Runs the case in the folder $1 with a temporary folder, for 120 seconds at most, and ends all that it started.
CASE=$1
PROGRAM=target/review-2/case-$(basename "$CASE")
RUN=$(sed -n 's/^run *= *"\(.*\)"$/\1/p' deploy/balancer.toml)
[ -x "$PROGRAM" ] || { echo "cannot run: $PROGRAM is not built (review/build-2.sh)"; exit 2; }
[ -n "$RUN" ] || { echo "cannot run: deploy/balancer.toml names no run"; exit 2; }
WORK=$(mktemp -d) || exit 2
export CASE RUN WORK
"$PROGRAM" &
pid=$!
trap 'kill -KILL $pid 2>/dev/null' INT TERM
# The guard ends the program if it hangs; the processes that it has not ended itself are ended below.
( n=0; while [ $n -lt 115 ]; do sleep 1; kill -0 $pid 2>/dev/null || exit 0; n=$((n + 1)); done
  echo "cannot run: the case took too long"; kill -KILL $pid 2>/dev/null ) &
guard=$!
wait $pid
code=$?
kill $guard 2>/dev/null
for file in "$WORK"/pid.*; do
  [ -e "$file" ] && kill -KILL "${file##*.}" 2>/dev/null
done
rm -rf "$WORK"
case $code in 0|1) exit $code;; *) exit 2;; esac
