#!/usr/bin/env bash
# Builds the stand-ins of the review into target/review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/find-jdk
mkdir -p target/review/classes
class_path=$(printf '%s:' target/entry/jackson-*.jar)
"$JAVA_HOME/bin/javac" -Xlint:all -cp "$class_path" -d target/review/classes review/platform/*.java
