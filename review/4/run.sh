#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disruption out. Exit code: 0 held, 1 broken, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review ] || exit 2
java_home=$(tools/find-jdk) || exit 2
exec "$java_home/bin/java" -Xmx400m -Djdk.httpclient.allowRestrictedHeaders=host \
    -cp 'target/review:target/lib/*' Case4 review/4/record.txt
