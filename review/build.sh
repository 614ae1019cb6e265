#!/usr/bin/env bash
# Builds what the scripts of the review start: the project's stand-ins of the platform and the
# harness. Runs after the build of the deploy file (bin/build-gateway), without a network.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/.."
JAVA_HOME=$(bin/find-java)
rm -rf review/target/classes
mkdir -p review/target/classes
"$JAVA_HOME/bin/javac" -nowarn -proc:none -encoding UTF-8 -d review/target/classes -cp 'target/lib/*' \
  standins/src/main/java/org/carobdoor/standins/FreePorts.java \
  standins/src/main/java/org/carobdoor/standins/gateway/*.java \
  review/harness/review/*.java
