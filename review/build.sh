#!/bin/sh
# Builds the stand-ins and the cases into target/review. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
java_home=$(tools/find-jdk)
mkdir -p target/review
"$java_home/bin/javac" -nowarn -d target/review -cp 'target/lib/*' review/harness/*.java \
    $(ls review/*/Case*.java 2>/dev/null)
