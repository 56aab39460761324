#!/usr/bin/env bash
# Compiles the stand-ins of review 2 into target/review-2. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/standin-2/*.java
