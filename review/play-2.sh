# play CASE FOLDER TROUBLE plays a case of standin2, without the disruption if TROUBLE is 0. The exit
# code is that of the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
play() {
  local root dir code=0 trouble=true pid
  root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
  cd "$root" || return 2
  for program in target/dandelionhilld review/bin/standin2; do
    [ -x "$program" ] || { echo "$program is missing: run the build of the deploy file and review/build-2.sh" >&2; return 2; }
  done
  [ "$3" = 0 ] && trouble=false
  dir=$(mktemp -d) || return 2
  : >"$2/record.txt"
  timeout -k 2 112 review/bin/standin2 -case "$1" -trouble=$trouble -dir "$dir" -record "$2/record.txt" || code=$?
  # Nothing is left to end unless the stand-in was stopped itself.
  while read -r pid; do
    if [ "$(readlink "/proc/$pid/exe" 2>/dev/null)" = "$root/target/dandelionhilld" ]; then kill -9 "$pid"; fi
  done < <(cat "$dir/pids" 2>/dev/null)
  rm -rf "$dir"
  [ "$code" -le 1 ] || code=2
  return "$code"
}
