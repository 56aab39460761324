#!/usr/bin/env bash
# Compiles the stand-ins of the review's scripts into review/target/classes. Needs a JDK 17 and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target/classes
mkdir -p target/classes
javac --release 17 -Xlint:all -d target/classes standin/*.java
