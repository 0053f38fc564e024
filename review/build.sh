#!/bin/sh
# Compiles the stand-ins and the programs of the cases with the JDK alone.
set -e
cd "$(dirname "$0")"
mkdir -p target
javac --release 17 -d target harness/*.java
