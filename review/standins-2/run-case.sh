#!/usr/bin/env bash
# Runs a case of the second review: run-case.sh CLASS FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. The record goes to FOLDER/record.txt. With TROUBLE=0 the disruption is left out.
set -u
class=$1
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
. bin/find-jdk
if [ ! -d target/review-2 ] || [ ! -x target/runtime/bin/java ]; then
    echo "Run the build of deploy/system.toml and review/build-2.sh first." >&2
    exit 2
fi
timeout -k 4 115 "$JAVA_HOME/bin/java" -Xmx512m -cp 'target/review-2:target/entry/*' \
    "org.aspenmoor.review.$class" "$PWD" "$folder"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
