#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 6 to 10, after the build of the deploy file.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
JAVA_HOME=$("$root/bin/find-java")
out="$root/review/target/harness-2"
rm -rf "$out"
mkdir -p "$out"
"$JAVA_HOME/bin/javac" -d "$out" -cp "$root/target/lib/*" "$root"/review/harness-2/*.java
