"""The deployed requirements include what the program imports."""

import importlib.metadata
import re
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
