#!/bin/sh
# Prepares the cases 11 to 15. Their stand-ins are Python of the standard
# library alone, so nothing is built; this shows that they compile, without
# leaving files behind, and that the deploy file's build has been run.
set -e
cd "$(dirname "$0")"
for source in support-3/*.py 1[1-5]/case.py; do
    [ -f "$source" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
if ! [ -d ../target/deps ]; then
    echo "target/deps is missing: run the build of deploy/system.toml first" >&2
    exit 1
fi
