#!/usr/bin/env bash
# Compiles the stand-ins of review 2 into target/review-2 to target/review-4. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2 target/review-3 target/review-4
javac -nowarn -d target/review-2 review/standin-2/*.java
javac -nowarn -d target/review-3 review/standin-3/*.java
javac -nowarn -d target/review-4 review/standin-4/*.java
