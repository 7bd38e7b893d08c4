"""Runs the command line with ``python -m magnoliaroad``."""

from magnoliaroad.cli import main

if __name__ == "__main__":
    main()
