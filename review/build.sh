#!/usr/bin/env bash
# Builds the stand-ins of the review into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/environment
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" -d target/review review/harness/*.java
