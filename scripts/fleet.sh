# Functions that start and stop the processes of one deployment on loopback.
# Sourced by scripts/demo and scripts/failure_tests; sets deployment, files,
# callers, operators, endpoints, model, read_path, write_path and pids.

declare -A pids=() # name -> process id
hosts=(a1 a2 a3 b1 b2 b3 c1 c2 c3)

mangovalve() { build/mangovalve "$@"; }

# run NAME COMMAND...: starts a process with its output in NAME.out, NAME.log.
run() {
  local name=$1
  shift
  "$@" >"$files/$name.out" 2>>"$files/$name.log" &
  pids[$name]=$!
}

# end NAME SIGNAL: ends a process that run started.
end() {
  local pid=${pids[$1]:-}
  unset "pids[$1]"
  if [ -n "$pid" ]; then
    kill "-$2" "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  fi
}

stop_all() {
  local name
  for name in "${!pids[@]}"; do
    end "$name" KILL
  done
}

kill_daemon() { end "daemon-$1" KILL; }

# retry N COMMAND...: until it succeeds, every 0.2 s.
retry() {
  local count=$1
  shift
  until "$@" >/dev/null 2>&1; do
    count=$((count - 1))
    [ "$count" -gt 0 ] || return 1
    sleep 0.2
  done
}

is_ready() { curl -sf -m 2 "http://$1/readyz"; }

# Place of a host in hosts, from 1; its ports follow from it.
port_of() {
  local i
  for i in "${!hosts[@]}"; do
    if [ "${hosts[$i]}" = "$1" ]; then echo $((i + 1)); fi
  done
}

# The three failure domains of the deployment, in the order of its document.
domains_of() { sed -n 's/^\[domains\.\(.*\)\]$/\1/p' "examples/$1/document.toml"; }

# Settings of one host, after the layout of the deployment's daemon.toml.
write_settings() {
  local host=$1 index domain
  index=$(port_of "$host")
  domain=$(domains_of "$deployment" | sed -n "$(((index + 2) / 3))p")
  sed -e "s/^host = .*/host = \"$host\"/" \
    -e "s/^domain = .*/domain = \"$domain\"/" \
    -e "s/^callers = .*/callers = \"127.0.0.1:$((base + 300 + index))\"/" \
    -e "s/^operators = .*/operators = \"127.0.0.1:$((base + 400 + index))\"/" \
    -e "s/^peers = .*/peers = \"127.0.0.1:$((base + 500 + index))\"/" \
    "examples/$deployment/daemon.toml" >"$files/$host.toml"
}

start_daemon() { run "daemon-$1" build/mangovalved --settings "$files/$1.toml"; }

start_endpoints() {
  local version fencing service address domain
  version=$(sed -n 's/^version = "\(.*\)"/\1/p' "examples/$deployment/document.toml")
  fencing=$(sed -n 's/^checks_fencing = //p' "examples/$deployment/document.toml")
  endpoints=
  while read -r service address domain; do
    if [ "$service" = "$model_service" ]; then
      run "engine-$address" build/standin_engine --listen "$address" \
        --service "$service" --domain "$domain" --seed "${address##*:}" \
        --models "$model@$version" --checks_fencing="$fencing"
    else
      run "service-$address" build/standin_service --listen "$address" \
        --service "$service" --domain "$domain" --seed "${address##*:}"
    fi
    endpoints+=${endpoints:+,}$address
  done < <(sed -n 's/.*"service": "\([^"]*\)", "address": "\([^"]*\)", "domain": "\([^"]*\)".*/\1 \2 \3/p' \
    "examples/$deployment/hosts.json")
}

# Demo keys and what each team offers: about half of its rate.
write_teams() {
  local team rate
  : >"$files/teams"
  while read -r team rate; do
    echo "demo-key-$team" >"$files/$team.key"
    echo "$team demo-key-$team $((rate / 2))" >>"$files/teams"
  done < <(sed -n -e 's/^\[teams\.\(.*\)\]$/\1/p' -e 's/^rate = //p' \
    "examples/$deployment/document.toml" | paste -d ' ' - -)
}

# Two jobs of model items and one of calls that may not be repeated.
write_jobs() {
  local teams i n=0 team kind
  mapfile -t teams < <(head -3 "$files/teams" | cut -d ' ' -f 1)
  : >"$files/jobs"
  for kind in model model plain; do
    team=${teams[$n]}
    n=$((n + 1))
    for i in $(seq "${items_per_job:-1500}"); do
      if [ "$kind" = model ]; then
        echo "{\"custom_id\":\"i$i\",\"body\":{\"max_tokens\":8,\"prompt\":\"$deployment batch $n item $i\"}}"
      else
        echo "{\"custom_id\":\"i$i\",\"body\":{\"bundle\":\"$deployment batch $n item $i\"}}"
      fi
    done >"$files/items-$n"
    echo "$team demo-$n $kind $files/items-$n $files/results-$n" >>"$files/jobs"
  done
}

route_of() { if [ "$1" = plain ]; then echo change; else echo ask; fi; }

repeatable() { if [ "$1" = plain ]; then echo false; else echo true; fi; }

# start_fleet DEPLOYMENT DIRECTORY: starts everything and submits the document.
start_fleet() {
  deployment=$1
  files=$2
  mkdir -p "$files"
  local document="examples/$deployment/document.toml" host index
  base=$(sed -n '/^\[platform\]/,/^$/s/^address = ".*:\(.*\)"/\1/p' "examples/$deployment/daemon.toml")
  model=$(sed -n 's/^\[models\.\(.*\)\]$/\1/p' "$document")
  model_service=$(sed -n "/^\[models/,/^\$/s/^service = \"\(.*\)\"/\1/p" "$document")
  read_path=$(sed -n '/^\[routes.look-up\]/,/^$/s/^path = "\(.*\)"/\1/p' "$document")
  write_path=$(sed -n '/^\[routes.change\]/,/^$/s/^path = "\(.*\)"/\1/p' "$document")
  run platform build/standin_platform --listen "127.0.0.1:$base" \
    --hosts "examples/$deployment/hosts.json"
  start_endpoints
  write_teams
  callers=
  operators=
  for host in "${hosts[@]}"; do
    index=$(port_of "$host")
    write_settings "$host"
    start_daemon "$host"
    callers+=${callers:+,}127.0.0.1:$((base + 300 + index))
    operators+=${operators:+,}127.0.0.1:$((base + 400 + index))
  done
  # A daemon is ready only once a document is in force.
  mangovalve config submit "$document" --base 0 --submitter demo \
    --address "$operators" --timeout_s 60 >"$files/submit.log" 2>&1 ||
    { echo "deployment=$deployment submission failed: $(cat "$files/submit.log")" >&2; return 1; }
  for host in ${operators//,/ }; do
    retry 50 has_revision "$host" 1 ||
      { echo "deployment=$deployment host=$host has no document" >&2; return 1; }
  done
  for host in ${operators//,/ }; do
    retry 150 is_ready "$host" ||
      { echo "deployment=$deployment host=$host is not ready" >&2; return 1; }
  done
  echo "deployment=$deployment daemons=${#hosts[@]} endpoints=$(tr ',' '\n' <<<"$endpoints" | wc -l) revision=1"
}

# has_revision OPERATORS REVISION
has_revision() {
  curl -s -m 2 "http://$1/metrics" | grep -q "^config_revision $2\$"
}
