# Starts and stops the processes of an example deployment. Sourced by bin/demo and bin/measure.
#
# The process id of every started process is recorded, and only these processes are stopped.

home="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
# The C2 compiler is off: in short runs of eight VMs it would take most of the CPU time.
small_jvm="-XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xss512k"
started=()

fail() {
  echo "$(basename "$0"): $*" >&2
  exit 1
}

build_if_needed() {
  local jar
  for jar in toucanrack standin bench; do
    jar="$home/$jar/target/$jar-0.1.0-SNAPSHOT-runnable.jar"
    if [ ! -f "$jar" ] || [ -n "$(find "$home"/{toucanrack,standin,bench}/src/main \
        "$home"/pom.xml -newer "$jar" -print -quit)" ]; then
      echo "building"
      (cd "$home" && mvn -q -B -ntp package -DskipTests)
      return
    fi
  done
}

# register_process NAME ROLE ADDRESS PID [MORE]: records a started process for stop_deployment.
register_process() {
  started+=("$4")
  # Keeps bash from reporting processes that are killed deliberately.
  disown "$4"
  echo "process $*" >>"$run/processes"
}

# Stops all started processes: first with SIGTERM, after five seconds with SIGKILL.
stop_deployment() {
  local pid left
  trap - EXIT
  for pid in "${started[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for _ in $(seq 50); do
    left=0
    for pid in "${started[@]}"; do
      kill -0 "$pid" 2>/dev/null && left=1
    done
    [ "$left" = 0 ] && return
    sleep 0.1
  done
  for pid in "${started[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
}

# wait_for SECONDS URL PID: waits until the URL answers with 2xx; fails on timeout or if the process
# exits.
wait_for() {
  local end=$((SECONDS + $1))
  until curl -sf -m 2 -o /dev/null "$2"; do
    kill -0 "$3" 2>/dev/null || return 1
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.2
  done
}

layout_lines() {
  grep "^$1 " "$run/layout"
}

start_stand_ins() {
  local kind name addresses slots connections service_time address
  read -r kind addresses < <(layout_lines platform)
  platform="${addresses%%,*}"
  STANDIN_JAVA_OPTIONS="-Xmx128m $small_jvm" "$home/bin/standin" platform \
    --listen "$addresses" --vm-lag-ms 2000 --writes-per-second 400 --reads-per-second 2000 \
    >"$run/platform.log" 2>&1 &
  register_process platform platform "$platform" $!
  wait_for 20 "http://$platform/vms" $! || fail "the platform stand-in did not start, see $run"
  while read -r kind name addresses slots connections service_time; do
    STANDIN_JAVA_OPTIONS="-Xmx192m $small_jvm" "$home/bin/standin" backend \
      --listen "$addresses" --slots "$slots" --max-connections "$connections" \
      --service-time "$service_time" --cold-factor 3 --cold-requests 20 --seed "$seed" \
      >"$run/backend-$name.log" 2>&1 &
    register_process "$name" backend "$addresses" $!
  done < <(layout_lines backend)
  while read -r kind name addresses _; do
    address="${addresses%%,*}"
    wait_for 20 "http://$address/health" "$(pid_of "$name")" \
      || fail "the backend servers of $name did not start, see $run"
  done < <(layout_lines backend)
}

pid_of() {
  awk -v name="$1" '$2 == name { print $5 }' "$run/processes"
}

start_entries() {
  local kind name region domain callers operators peers platform_url all_peers
  all_peers="$(layout_lines entry | awk '{ print $7 }' | paste -sd,)"
  TOUCANRACK_PEER_SECRET="$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')"
  export TOUCANRACK_PEER_SECRET
  while read -r kind name region domain callers operators peers platform_url; do
    TOUCANRACK_JAVA_OPTIONS="-Xmx128m $small_jvm" "$home/bin/toucanrack" serve \
      --vm "$name" --region "$region" --failure-domain "$domain" \
      --callers-listen "$callers" --operators-listen "$operators" --peers-listen "$peers" \
      --platform "$platform_url" --peers "$all_peers" >"$run/entry-$name.log" 2>&1 &
    register_process "$name" entry "$callers" $! "operator=$operators"
    curl -sf -m 5 -o /dev/null -X PUT "http://$platform/vms/$name" \
      -d "{\"peerAddress\":\"$peers\",\"leaving\":false}"
  done < <(layout_lines entry)
}

apply_and_grant() {
  local kind customer key result=0
  "$home/bin/toucanrack" apply -f "$home/examples/$deployment" --platform "http://$platform" \
    --wait || result=$?
  # Exit code 5: accepted but not yet confirmed everywhere; wait_until_ready checks this later.
  [ "$result" = 0 ] || [ "$result" = 5 ] || fail "apply failed with exit code $result"
  : >"$run/keys"
  chmod 600 "$run/keys"
  while read -r kind customer; do
    key="$("$home/bin/toucanrack" key grant --customer "$customer" --name "demo-$customer" \
      --platform "http://$platform" | grep -oE '(key-|trk_)[A-Za-z0-9_-]+' | head -1)" \
      || fail "no key was granted to $customer"
    echo "$customer $key" >>"$run/keys"
  done < <(layout_lines customer)
}

wait_until_ready() {
  local kind name region domain callers operators rest
  while read -r kind name region domain callers operators rest; do
    wait_for 40 "http://$operators/readyz" "$(pid_of "$name")" \
      || fail "entry VM $name is not ready, see $run/entry-$name.log"
  done < <(layout_lines entry)
}

# start_deployment: reads the variables deployment, seed and stand_ins_only; sets run and platform.
start_deployment() {
  [ -d "$home/examples/$deployment" ] || fail "there is no examples/$deployment"
  run="$home/target/run-$deployment"
  mkdir -p "$run"
  : >"$run/processes"
  build_if_needed
  "$home/bin/bench" layout --file "$home/examples/$deployment" >"$run/layout"
  trap stop_deployment EXIT
  start_stand_ins
  if [ "${stand_ins_only:-no}" = no ]; then
    start_entries
    apply_and_grant
    wait_until_ready
  fi
}
