#!/usr/bin/env bash
exec "$(dirname "$0")/../run_case.sh" "$(cd "$(dirname "$0")" && pwd)"
