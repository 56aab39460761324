#!/usr/bin/env bash
# Compiles the stand-ins of review 2 into target/review-2 and target/review-3. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2 target/review-3
javac -nowarn -d target/review-2 review/standin-2/*.java
javac -nowarn -d target/review-3 review/standin-3/*.java
