#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0
# leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in redwing-gateway redwing-runner; do
    if [[ ! -x target/release/$program ]]; then
        echo "target/release/$program is missing: build the project first" >&2
        exit 2
    fi
done
if [[ ! -x target/review/review ]]; then
    bash review/build.sh || exit 2
fi
exec target/review/review left-lying review/1/record.txt
