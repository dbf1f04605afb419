#!/usr/bin/env bash
# Starts a small deployment on 127.0.0.1: the stand-ins of the platform, engines and services in three
# availability zones, and three entry daemons. Publishes the example tables, grants keys, sends five requests
# and prints each answer with the row that decided it. Then it stays up until Ctrl-C.
#   tools/demo.sh                                    Plumavera
#   tools/demo.sh --deployment plumavera|jheelpath
#   tools/demo.sh --once                             ends after the requests; exit code 0 only if each came
#                                                    out as it should
#   tools/demo.sh --port-base N                      first port of the entry daemons (default 17600)
#   tools/demo.sh --no-build                         uses the binaries as they are
# BUILD_DIR names the build folder, JOBS the number of compile jobs.
set -euo pipefail
cd "$(dirname "$0")/.."

deployment=plumavera
once=0
build_first=1
port_base=17600
while [ $# -gt 0 ]; do
  case $1 in
    --deployment) deployment=$2; shift 2 ;;
    --once) once=1; shift ;;
    --port-base) port_base=$2; shift 2 ;;
    --no-build) build_first=0; shift ;;
    *) echo "unknown argument $1; see the head of tools/demo.sh" >&2; exit 2 ;;
  esac
done
case $deployment in
  plumavera)
    zones=(occ-a occ-b occ-c) loads_per_second=1.5 service_prefix=desk
    workspace=atelier other_workspace=stalls
    cold_model=feather-answers cold_row=ask-feather-answers
    review_model=contract-review-small review_row=build-contract-review-small
    purchase_row=order-purchase refused_model=contract-review-large ;;
  jheelpath)
    zones=(bengal-east-a bengal-east-b bengal-east-c) loads_per_second=3 service_prefix=shop
    workspace=surveyors other_workspace=schools
    cold_model=delta-answers cold_row=ask-delta-answers
    review_model=permit-review-small review_row=check-permit-review-small
    purchase_row=checkout-purchase refused_model=permit-review-large ;;
  *) echo "unknown deployment $deployment; known: plumavera, jheelpath" >&2; exit 2 ;;
esac

if [ "$build_first" -eq 1 ]; then
  tools/install-packages.sh
  tools/build.sh
fi
bin=${BUILD_DIR:-build}
work=$(mktemp -d)
declare -a daemon_pids=() standin_pids=()
failed=0

end_all() {
  trap - EXIT INT TERM
  local pid round
  # The first signal begins a planned stop, which waits for the callers' entry lists to expire; the second
  # ends the daemon at once.
  for round in 1 2; do
    for pid in "${daemon_pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    sleep 0.3
  done
  for pid in "${standin_pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${daemon_pids[@]}" "${standin_pids[@]}"; do
    for round in $(seq 50); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.1
    done
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  if [ "$failed" -eq 0 ]; then rm -rf "$work"; else echo "output of all processes: $work" >&2; fi
}
trap end_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

fail() {
  failed=1
  echo "FAILED: $*" >&2
}

stop_with() {
  fail "$*"
  tail -n 5 "$work"/*.err >&2 || true
  exit 1
}

# Waits until a command succeeds; a condition, with a limit in tenths of a second.
wait_until() { # limit what command...
  local limit=$1 what=$2 i
  shift 2
  for ((i = 0; i < limit; i++)); do
    "$@" > /dev/null 2>&1 && return 0
    sleep 0.1
  done
  stop_with "waited in vain for $what"
}

# Starts a stand-in; its address is in $address afterwards.
start_standin() { # name binary arguments...
  local name=$1 binary=$2
  shift 2
  "$bin/$binary" "$@" > "$work/$name.out" 2> "$work/$name.err" &
  standin_pids+=($!)
  wait_until 100 "$name to listen" grep -q '^listening ' "$work/$name.out"
  address=$(sed -n 's/^listening //p' "$work/$name.out")
}

json_field() { # expression over the document d
  python3 -c "import json,sys; d=json.load(sys.stdin); print($1)"
}

# --- The platform and the upstreams ------------------------------------------------------------------------
order_key=$(openssl rand -hex 16)
start_standin log standin-log; log_address=$address
start_standin store standin-store --loads-per-second "$loads_per_second" --checkpoint-ms 1500; store_address=$address
start_standin vmlist standin-vmlist --lag-ms 500; vmlist_address=$address

vms=()
add_vm() { # name role address zone memory fencing sender
  vms+=("{\"name\":\"$1\",\"instance\":\"$1-i1\",\"role\":\"$2\",\"address\":\"$3\",\"availability_zone\":\"$4\",\"memory_mb\":$5,\"leaving\":false,\"honours_fencing\":$6,\"checks_sender\":$7}")
}
engine_number=0
for zone in "${zones[@]}"; do
  for n in 1 2; do
    name="engine-${zone##*-}$n" arguments=() fencing=false sender=false
    # Half of the engines honour fencing, a third check who gives an order.
    if [ $((engine_number % 2)) -eq 0 ]; then fencing=true; arguments+=(--honours-fencing); fi
    if [ $((engine_number % 3)) -eq 0 ]; then sender=true; arguments+=(--checks-sender --order-key "$order_key"); fi
    start_standin "$name" standin-engine --name "$name" --vm-instance "$name-i1" --memory-mb 80000 \
      --store "$store_address" --load-ms 300 --token-ms 10 --resumes-streams "${arguments[@]}"
    add_vm "$name" upstream "$address" "$zone" 80000 "$fencing" "$sender"
    engine_number=$((engine_number + 1))
  done
done
service_addresses=()
for zone in "${zones[@]}"; do
  name="$service_prefix-${zone##*-}1"
  start_standin "$name" standin-service --name "$name" --vm-instance "$name-i1"
  service_addresses+=("$address")
  add_vm "$name" upstream "$address" "$zone" 0 false false
done

# --- Three entry daemons -----------------------------------------------------------------------------------
export AUBURNCHUTE_TOKEN AUBURNCHUTE_ADMIN
AUBURNCHUTE_TOKEN=$(openssl rand -hex 16)
key_salt=$(openssl rand -hex 16)
entries=() admins=()
for i in 0 1 2; do
  name="entry-${zones[$i]##*-}1"
  entries+=("127.0.0.1:$((port_base + 3 * i))")
  admins+=("127.0.0.1:$((port_base + 3 * i + 2))")
  cat > "$work/$name.yaml" <<YAML
vm: $name
availability_zone: ${zones[$i]}
callers: {listen: "${entries[$i]}"}
peers: {listen: "127.0.0.1:$((port_base + 3 * i + 1))"}
admin: {listen: "${admins[$i]}"}
log: {address: "$log_address"}
vm_list: {address: "$vmlist_address"}
key_salt: $key_salt
operator_token: $AUBURNCHUTE_TOKEN
order_key: $order_key
traces: {file: "$work/$name.spans.jsonl"}
YAML
  add_vm "$name" entry "${entries[$i]}" "${zones[$i]}" 0 false false
done
(IFS=,; printf '{"vms":[%s]}' "${vms[*]}") > "$work/vms.json"
curl -fsS -X PUT --data-binary "@$work/vms.json" "http://$vmlist_address/v1/vms" > /dev/null ||
  stop_with "the VM list was not taken"
for i in 0 1 2; do
  name="entry-${zones[$i]##*-}1"
  "$bin/auburnchuted" --settings "$work/$name.yaml" > "$work/$name.out" 2> "$work/$name.err" &
  daemon_pids+=($!)
done
AUBURNCHUTE_ADMIN=$(IFS=,; echo "${admins[*]}")
for i in 0 1 2; do
  wait_until 300 "entry daemon $i to listen" grep -q '^listening ' "$work/entry-${zones[$i]##*-}1.out"
done

status() { # expression over one daemon's status d
  curl -fsS -H "Authorization: Bearer $AUBURNCHUTE_TOKEN" "http://$1/admin/v1/status" | json_field "$2"
}
all_ready() {
  local admin
  for admin in "${admins[@]}"; do
    [ "$(status "$admin" "d['ready'] and sum(m['status']=='live' for m in d['members'])==3 and d['share_pending']==0 and len(d['upstreams'])==9")" = True ] || return 1
  done
}

# --- Tables and keys ---------------------------------------------------------------------------------------
# The tool notes the version in the file, so it gets a copy.
cp "examples/$deployment/routes.yaml" "examples/$deployment/pools.yaml" "$work/"
wait_until 300 "three members and nine upstreams" all_ready
"$bin/auburnctl" publish "$work/routes.yaml" "$work/pools.yaml" --base 0 --author demo --wait \
  --message "Tables of the demo" || stop_with "the tables were not published"
"$bin/auburnctl" keys grant "$workspace" "demo" --wait > "$work/key" 2> "$work/key.err" ||
  stop_with "no key was granted: $(cat "$work/key.err")"
"$bin/auburnctl" keys grant "$other_workspace" "demo, other workspace" --wait > "$work/other-key" 2> "$work/key.err" ||
  stop_with "no key was granted: $(cat "$work/key.err")"
key=$(cat "$work/key")
other_key=$(cat "$work/other-key")
# Buckets begin empty and fill at the workspace's rate.
tokens_there() { [ "$(status "${admins[1]}" "all(w['tokens']>=1000 for w in d['workspaces'] if w['workspace'] in ('$workspace','$other_workspace'))")" = True ]; }
wait_until 300 "tokens of the workspaces" tokens_there

# --- Requests ----------------------------------------------------------------------------------------------
# Sends a request; status, seconds, headers and body are in $code, $seconds, $work/head and $work/body.
send() { # entry key path body [header...]
  local entry=$1 bearer=$2 path=$3 body=$4 header
  shift 4
  local arguments=(-H 'Content-Type: application/json')
  [ -z "$bearer" ] || arguments+=(-H "Authorization: Bearer $bearer")
  for header in "$@"; do arguments+=(-H "$header"); done
  local result
  result=$(curl -sS -m 120 -D "$work/head" -o "$work/body" -w '%{http_code} %{time_total}' \
    "${arguments[@]}" --data-binary "$body" "http://$entry$path") || result="000 0"
  code=${result%% *} seconds=${result##* }
  row=$(sed -n 's/^[Aa]uburnchute-[Rr]ow: *\([^\r]*\).*/\1/p' "$work/head")
}
chat() { # model text max_tokens stream
  printf '{"model":"%s","max_tokens":%s,"stream":%s,"messages":[{"role":"user","content":"%s"}]}' "$1" "$3" "$4" "$2"
}
show() { # title
  printf '\n%s\n  status %s, %s s, row %s\n' "$1" "$code" "$seconds" "${row:-none}"
  if grep -q '^data: ' "$work/body"; then
    grep '^data: ' "$work/body" | sed -n '1,3p' | sed 's/^/  /'
    echo "  ..."
    grep '^data: ' "$work/body" | tail -n 3 | sed 's/^/  /'
  else
    head -c 700 "$work/body" | sed 's/^/  /'
    echo
  fi
}
expect() { # what command...
  local what=$1
  shift
  "$@" || fail "$what"
}
row_is() { [[ $row == "routes/$1@"* ]]; }

replicas_of() { status "${admins[0]}" "sum(r['model']=='$1' for r in d['replicas'])"; }

expect "$cold_model is cold before the first request" [ "$(replicas_of "$cold_model")" = 0 ]
send "${entries[0]}" "$key" /v1/chat/completions "$(chat "$cold_model" "What does a metre cost?" 12 false)"
show "1. A question to $cold_model, which had to be loaded first"
cold_seconds=$seconds
expect "the cold model answers" [ "$code" = 200 ]
expect "row $cold_row decided" row_is "$cold_row"
expect "the answer is a completion" grep -q '"chat.completion"' "$work/body"
expect "one replica of $cold_model is loaded" [ "$(replicas_of "$cold_model")" = 1 ]

send "${entries[1]}" "$key" /v1/chat/completions "$(chat "$review_model" "Review the third draft." 20 true)"
show "2. A review, answered as a stream"
expect "the review is answered" [ "$code" = 200 ]
expect "row $review_row decided" row_is "$review_row"
expect "the review comes as an event stream" grep -qi '^content-type: text/event-stream' "$work/head"
expect "the stream ends as a whole" grep -q '^data: \[DONE\]' "$work/body"

send "${entries[2]}" "$key" /v1/chat/completions "$(chat "$cold_model" "Is the blue in stock?" 12 false)"
show "3. A quick question; the model is warm now"
expect "the quick question is answered" [ "$code" = 200 ]
expect "row $cold_row decided" row_is "$cold_row"
expect "the warm answer ($seconds s) is faster than the cold one ($cold_seconds s)" \
  python3 -c "import sys; sys.exit(not $seconds < $cold_seconds)"

order="order-$(openssl rand -hex 4)"
send "${entries[0]}" "$key" /orders/purchase "{\"order\":\"$order\",\"item\":\"ink\"}" "Idempotency-Key: $order"
show "4. A purchase"
expect "the purchase is made" [ "$code" = 200 ]
expect "row $purchase_row decided" row_is "$purchase_row"
cp "$work/body" "$work/first-purchase"
send "${entries[2]}" "$key" /orders/purchase "{\"order\":\"$order\",\"item\":\"ink\"}" "Idempotency-Key: $order"
show "   The same purchase again, at another entry"
expect "the repeat is answered" [ "$code" = 200 ]
expect "the repeat gets the stored answer" cmp -s "$work/body" "$work/first-purchase"
expect "row $purchase_row decided the repeat" row_is "$purchase_row"
runs=0
for address in "${service_addresses[@]}"; do
  runs=$((runs + $(curl -fsS "http://$address/runs" | json_field "d['runs'].get('$order', 0)")))
done
echo "  runs of $order at the services: $runs"
expect "the purchase ran once" [ "$runs" = 1 ]

send "${entries[1]}" "$other_key" /v1/chat/completions "$(chat "$refused_model" "Review this." 20 false)"
show "5. Workspace $other_workspace asks for $refused_model, which no row gives it"
expect "the request is refused" [ "${code:0:1}" = 4 ]
expect "the refusal says that nothing ran" grep -q '"execution": *"not_run"' "$work/body"
expect "the refusal says why" [ -n "$(json_field "d.get('detail','')" < "$work/body")" ]

# --- Addresses ---------------------------------------------------------------------------------------------
if [ "$once" -eq 1 ]; then
  if [ "$failed" -eq 0 ]; then echo; echo "all requests came out as said"; fi
  exit "$failed"
fi
echo
echo "callers:  ${entries[*]}"
echo "admin:    ${admins[*]}"
echo "log $log_address, store $store_address, VM list $vmlist_address"
echo "settings, spans and output: $work"
echo
echo "curl -s http://${entries[0]}/v1/chat/completions -H 'Authorization: Bearer $key' -H 'Content-Type: application/json' \\"
echo "  -d '$(chat "$cold_model" "Which loom is free?" 24 true)'"
echo "AUBURNCHUTE_ADMIN=$AUBURNCHUTE_ADMIN AUBURNCHUTE_TOKEN=$AUBURNCHUTE_TOKEN $bin/auburnctl status"
echo
echo "Ctrl-C ends the demo."
wait "${daemon_pids[@]}" || true
