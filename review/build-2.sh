#!/bin/sh
# Builds the stand-ins and the cases of the second review. Needs only the JDK.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/harness-2/*.java
