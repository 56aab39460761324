#!/usr/bin/env bash
# Compiles the case in the folder $1 with the stand-ins beside this script, and runs its class $2. The exit code is that
# of the case: 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -u
case_folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.." || exit 2
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
javac -d "$work" review/rig/*.java "$case_folder"/*.java || exit 2
timeout 110 java -Xmx256m -Djava.io.tmpdir="$work" -cp "$work" "$2" "$case_folder/record.txt" "${TROUBLE:-1}"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
