#!/bin/sh
# Runs galenagrade by hand on loopback: a log, two nodes with their upstreams,
# published instances, load, and a planned stop with calls in flight. It takes
# about 20 s and ends every process that it started, by its ID.
#
# Ports: 7000 (log), 7100-7103 (letters), 7110-7113 (archive).
set -eu
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
pids=""

cleanup() {
	status=$?
	trap - EXIT INT TERM
	for pid in $pids; do kill -TERM "$pid" 2>/dev/null || true; done
	for pid in $pids; do wait "$pid" 2>/dev/null || true; done
	rm -rf "$dir"
	exit "$status"
}
trap cleanup EXIT INT TERM

step() { printf '\n== %s\n' "$*"; }

# start NAME COMMAND... runs a process beside this script; its ID is $started.
start() {
	name=$1
	shift
	"$@" >"$dir/$name.out" 2>"$dir/$name.err" &
	started=$!
	pids="$pids $started"
}

# await COMMAND... waits at most 20 s until the command succeeds.
await() {
	tries=0
	until "$@" >/dev/null 2>&1; do
		tries=$((tries + 1))
		if [ "$tries" -gt 100 ]; then
			echo "gave up waiting for: $*" >&2
			cat "$dir"/*.err >&2
			exit 1
		fi
		sleep 0.2
	done
}

members() { "$dir/galenactl" -o json members | grep -c '"state": "alive"' | grep -qx "$1"; }

step build
go build -o "$dir/" ./cmd/galenad ./cmd/galenactl ./cmd/galenabench
export GALENACTL_TOKEN=by-hand-operator
export GALENACTL_ADDRESS=127.0.0.1:7103

step "log, two nodes, two upstreams"
start log "$dir/galenabench" log
start letters-node "$dir/galenad" --config examples/by-hand/node-letters.json
letters=$started
start archive-node "$dir/galenad" --config examples/by-hand/node-archive.json
start archive "$dir/galenabench" upstream --node 127.0.0.1:7111 --service archive --path /search --mean 15ms
start letters "$dir/galenabench" upstream --node 127.0.0.1:7101 --service letters --path /issue --mean 20ms --step archive:GET:/search
letters_upstream=$started
await members 2

step "publish a template and two instances"
"$dir/galenactl" template publish examples/templates/balanced.json
"$dir/galenactl" instance set chikugo letters --template balanced --file examples/by-hand/letters.json
"$dir/galenactl" instance set chikugo archive --template balanced --file examples/by-hand/archive.json
"$dir/galenactl" instance diff chikugo archive queue_limit=48

step "load over both nodes"
"$dir/galenabench" load --workspace chikugo --service letters --method POST --path /issue \
	--target 127.0.0.1:7100 --target 127.0.0.1:7110 --rate 50 --for 4s --expect 0.99 | tee "$dir/load.json"

step "what operators see"
"$dir/galenactl" status
"$dir/galenactl" members
request=$(sed 's/.*"request_id":"\([^"]*\)".*/\1/' "$dir/load.json")
echo "time line of request $request:"
"$dir/galenactl" timeline --call "$request"
echo "the last events of all kinds:"
"$dir/galenactl" timeline --max 12

step "planned stop with calls in flight"
"$dir/galenabench" load --workspace chikugo --service letters --method POST --path /issue \
	--target 127.0.0.1:7110 --rate 50 --for 3s >"$dir/stop.json" &
load=$!
sleep 1
kill -TERM "$letters_upstream"
wait "$letters_upstream" && echo "upstream letters left, exit code 0"
kill -TERM "$letters"
wait "$letters" && echo "node kurume-letters-1 stopped, exit code 0"
wait "$load"
echo "the load went on; after the only upstream of letters left, calls are refused as not run (2004):"
cat "$dir/stop.json"
grep -h '"message":"stopp' "$dir/letters-node.err"
step done
