"""The deployed requirements include what the program imports."""

import importlib.metadata
import os
import re
import shutil
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

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
if [ "$2" = compileall ]; then echo "$*" >> compiled; exit "$COMPILE_STATUS"; fi
while [ "$1" != --target ]; do shift; done
mkdir -p "$2"
echo installed >> calls
[ "$BREAKS" = 1 ] && exit 1
sleep "$PIP_S"
touch "$2/library"
""",
}


class Checkout:
    """A folder with the build script, and stand-ins of the programs that it runs."""

    def __init__(self, folder, compile_status=0):
        self.folder = folder
        self.compile_status = compile_status
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
        succeeded = self.begin_build(kind, breaks).wait() == 0
        return succeeded, self.installs()

    def begin_build(self, kind="a", breaks=False, pip_s=0.0):
        """Begins a build, in which pip takes ``pip_s``; returns its process."""
        env = {
            "PATH": f"{self.folder}/bin:{os.environ['PATH']}",
            "KIND": kind,
            "BREAKS": str(int(breaks)),
            "PIP_S": str(pip_s),
            "COMPILE_STATUS": str(self.compile_status),
        }
        return subprocess.Popen(
            ["sh", "deploy/build.sh"],
            cwd=self.folder,
            env=env,
            start_new_session=True,
        )

    def installs(self):
        return (self.folder / "calls").read_text().count("installed")

    def until_installs(self, count):
        deadline = time.monotonic() + 20.0
        while self.installs() < count:
            assert time.monotonic() < deadline
            time.sleep(0.01)

    def is_complete(self):
        return (self.folder / "target" / "deps" / "library").exists()


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


def test_libraries_stay_until_others_are_complete(tmp_path):
    """Guards against processes that start while a build runs (FAULT)."""
    checkout = Checkout(tmp_path)
    assert checkout.build() == (True, 1)
    building = checkout.begin_build(kind="b", pip_s=0.5)
    checkout.until_installs(2)
    assert checkout.is_complete()
    assert building.wait() == 0
    assert checkout.is_complete()
    assert checkout.build(kind="b") == (True, 2)


def test_of_two_builds_at_once_one_installs(tmp_path):
    checkout = Checkout(tmp_path)
    first = checkout.begin_build(pip_s=0.5)
    checkout.until_installs(1)
    second = checkout.begin_build(pip_s=0.5)
    assert (first.wait(), second.wait()) == (0, 0)
    assert checkout.installs() == 1
    assert checkout.is_complete()


def test_a_build_that_is_killed_leaves_the_libraries_and_nothing_else(tmp_path):
    checkout = Checkout(tmp_path)
    assert checkout.build() == (True, 1)
    building = checkout.begin_build(kind="b", pip_s=60.0)
    checkout.until_installs(2)
    os.killpg(building.pid, signal.SIGKILL)
    building.wait()
    assert checkout.is_complete()
    assert checkout.build(kind="b") == (True, 3)
    left = {path.name for path in (tmp_path / "target").iterdir()}
    assert left == {"deps", ".build-lock"}


@pytest.mark.parametrize("status", [0, 1])
def test_each_build_compiles_the_sources_and_may_do_without(tmp_path, status):
    checkout = Checkout(tmp_path, status)
    assert checkout.build() == (True, 1)
    assert checkout.build() == (True, 1)
    calls = (tmp_path / "compiled").read_text().splitlines()
    assert len(calls) == 2
    assert all(call.endswith(" src platform") for call in calls)
