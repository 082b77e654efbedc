#!/usr/bin/env bash
# Runs a case: run-case.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/.."
. bin/find-jdk
if [ ! -x target/runtime/bin/java ] || [ ! -f target/review/classes/CaseRunner.class ]; then
    echo "Run the build of deploy/system.toml and review/build.sh first." >&2
    exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
class_path=$(printf '%s:' target/entry/jackson-*.jar)target/review/classes
timeout -k 5 110 "$JAVA_HOME/bin/java" -Xmx256m -cp "$class_path" CaseRunner "$1" "$folder" "$2/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
