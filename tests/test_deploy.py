"""The deploy file lists the packages of a clean build, and dependencies install without a compiler."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())


def test_packages_include_interpreter_and_installer():
    assert {"python3", "python3-pip", "ca-certificates"} <= set(DEPLOY["packages"])
    assert len(set(DEPLOY["packages"])) == len(DEPLOY["packages"])


def test_build_installs_wheels_only():
    assert "--only-binary :all:" in DEPLOY["build"]
    assert not {"gcc", "build-essential", "python3-dev"} & set(DEPLOY["packages"])


def test_ci_installs_pinned_wheels_only():
    assert (
        "pip install -q --disable-pip-version-check --only-binary :all: -r requirements.txt"
        in (ROOT / ".ci" / "run").read_text()
    )


def test_every_dependency_is_pinned():
    lines = [line for line in (ROOT / "requirements.txt").read_text().splitlines() if line.strip()]
    assert lines and all(line.count("==") == 1 for line in lines)
