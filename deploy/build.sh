#!/bin/sh
# Installs the libraries into target/deps. They are kept only if they are complete and
# were installed for this list, interpreter and kind of machine: a folder that came from
# another machine, or from a build that broke off, would let no process start.
set -eu
cd "$(dirname "$0")/.."
done_file=target/deps/.installed-for
wanted="$(uname -m) $(python3 -V) $(cksum < deploy/requirements.txt)"
if [ ! -f "$done_file" ] || [ "$(cat "$done_file")" != "$wanted" ]; then
    rm -rf target/deps
    python3 -m pip install -q --target target/deps -r deploy/requirements.txt
    echo "$wanted" > "$done_file"
fi
