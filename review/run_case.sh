# Runs the case of the calling script's folder: `run_case NUMBER`. Sourced by the scripts.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
run_case() {
  local number=$1 here root folder code
  here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
  root=$(dirname "$here")
  for program in "$root/target/node/siskinpaddle-node" "$root/target/review/case_$number"; do
    [ -x "$program" ] || { echo "$program is not built"; return 2; }
  done
  folder=$(mktemp -d) || return 2
  code=0
  timeout --signal=TERM --kill-after=2 115 "$root/target/review/case_$number" --node "$root/target/node/siskinpaddle-node" \
    --folder "$folder" --record "$here/$number/record.txt" --trouble "${TROUBLE:-1}" || code=$?
  if [ "${KEEP:-}" ]; then echo "logs: $folder"; else rm -rf "$folder"; fi
  case $code in 0 | 1) return "$code" ;; *) return 2 ;; esac
}
