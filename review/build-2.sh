#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2; to be run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
. bin/find-jdk
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -nowarn -d target/review-2 -cp 'target/entry/*' review/standins-2/platform/*.java
