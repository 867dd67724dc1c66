#!/usr/bin/env bash
# Builds the stand-ins and the scripts of the cases 6 to 10, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
home=$(tools/find-jdk)
rm -rf target/review-2
mkdir -p target/review-2
shopt -s nullglob
"$home/bin/javac" --release 21 --add-modules jdk.httpserver -d target/review-2 \
    review/harness-2/*.java review/[6-9]/*.java review/10/*.java
