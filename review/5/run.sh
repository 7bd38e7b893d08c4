#!/usr/bin/env bash
exec "$(dirname "$0")/../common/run.sh" "$(cd "$(dirname "$0")" && pwd)"
