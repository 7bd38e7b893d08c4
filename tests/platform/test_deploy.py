"""The deployed requirements include what the program imports."""

import importlib.metadata
import os
import re
import shutil
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]
IMPORT = "import sys, magnoliaroad_platform.main; print(*sys.modules)"


def test_the_deployed_requirements_include_each_imported_package():
    """Hosts failed at their start because a package was only installed for tests."""
    paths = f"{ROOT / 'src'}:{ROOT / 'platform'}"
    out = subprocess.run(
        [sys.executable, "-c", IMPORT],
        env={"PYTHONPATH": paths},
        capture_output=True,
        text=True,
        check=True,
    ).stdout
    packages = importlib.metadata.packages_distributions()
    imported = {
        name.lower().replace("_", "-")
        for module in out.split()
        for name in packages.get(module.partition(".")[0], ())
    }
    text = (ROOT / "deploy" / "requirements.txt").read_text()
    deployed = {
        name.lower().replace("_", "-")
        for name in re.findall(r"^([\w.-]+)==", text, re.MULTILINE)
    }
    assert imported - deployed <= {"magnoliaroad", "setuptools"}


STUBS = {
    "uname": "echo $KIND",
    "python3": """
if [ "$1" = -V ]; then echo Python 3; exit; fi
mkdir -p target/deps
echo installed >> calls
[ "$BREAKS" = 1 ] && exit 1
touch target/deps/library
""",
}


class Checkout:
    """A folder with the build script, and stand-ins of the programs that it runs."""

    def __init__(self, folder):
        self.folder = folder
        (folder / "deploy").mkdir()
        (folder / "bin").mkdir()
        (folder / "calls").touch()
        shutil.copy(ROOT / "deploy" / "build.sh", folder / "deploy")
        self.require("one==1")
        for name, text in STUBS.items():
            path = folder / "bin" / name
            path.write_text(f"#!/bin/sh\n{text}")
            path.chmod(0o755)

    def require(self, text):
        (self.folder / "deploy" / "requirements.txt").write_text(text)

    def build(self, kind="a", breaks=False):
        """Builds; returns whether it succeeded, and how often it has installed."""
        env = {
            "PATH": f"{self.folder}/bin:{os.environ['PATH']}",
            "KIND": kind,
            "BREAKS": str(int(breaks)),
        }
        done = subprocess.run(
            ["sh", "deploy/build.sh"], cwd=self.folder, env=env, check=False
        )
        calls = (self.folder / "calls").read_text().count("installed")
        return done.returncode == 0, calls


def test_libraries_are_installed_again_if_they_are_not_for_this_machine(tmp_path):
    """Guards against a carried-over folder that lets no process start (FAULT)."""
    checkout = Checkout(tmp_path)
    assert checkout.build() == (True, 1)
    assert checkout.build() == (True, 1)
    assert checkout.build(kind="b") == (True, 2)
    checkout.require("one==2")
    assert checkout.build(kind="b") == (True, 3)


def test_libraries_are_installed_again_after_a_build_that_broke_off(tmp_path):
    checkout = Checkout(tmp_path)
    assert checkout.build(breaks=True) == (False, 1)
    assert checkout.build() == (True, 2)
    (tmp_path / "target" / "deps" / ".installed-for").unlink()
    assert checkout.build() == (True, 3)
