#!/bin/sh
# Installs the libraries into target/deps. They are kept only if they are complete and
# were installed for this list, interpreter and kind of machine: a folder that came from
# another machine, or from a build that broke off, would let no process start. They are
# replaced only by complete ones, as processes may start while a build runs.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
if command -v flock > /dev/null; then
    # One build at a time; the lock ends with this process.
    exec 9> target/.build-lock
    flock 9
    rm -rf target/deps.*
fi
done_file=target/deps/.installed-for
wanted="$(uname -m) $(python3 -V) $(cksum < deploy/requirements.txt)"
if [ ! -f "$done_file" ] || [ "$(cat "$done_file")" != "$wanted" ]; then
    new="target/deps.new-$$"
    old="target/deps.old-$$"
    python3 -m pip install -q --target "$new" -r deploy/requirements.txt
    echo "$wanted" > "$new/.installed-for"
    if [ -e target/deps ]; then
        mv target/deps "$old"
    fi
    mv "$new" target/deps
    rm -rf "$old"
fi

# Processes can't write to the checkout, so each start would compile the sources again.
# With hashes, a copy of the checkout may change the times of files.
python3 -m compileall -q --invalidation-mode checked-hash src platform ||
    echo "sources not compiled" >&2
