"""Runs one benchmark: ``python -m bench NAME``."""

import importlib
import pkgutil
import sys

import bench


def main() -> None:
    names = [module.name for module in pkgutil.iter_modules(bench.__path__)]
    names = [name for name in names if not name.startswith("_")]
    if len(sys.argv) < 2 or sys.argv[1] not in names:
        sys.exit(f"usage: python -m bench NAME; NAME is one of {', '.join(names)}")
    importlib.import_module(f"bench.{sys.argv[1]}").main(sys.argv[2:])


if __name__ == "__main__":
    main()
