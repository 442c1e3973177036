"""Packages import downward only: what is below knows nothing of what is above."""

import ast
import importlib
import re
from collections import defaultdict
from itertools import chain
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent / "frostpost"
# From the top: a package may import from those of the lines below its own, and from its own.
LAYERS = (
    ("simulator",),
    ("testbed",),
    ("app", "admin"),
    ("platform", "http_api"),
    ("proxy", "background"),
    ("cluster", "turn_store"),
    ("daemon",),
    ("ledger", "tenant_config"),
    ("program_ledger", "placement"),
    ("virtual_synchrony", "write_ahead_log"),
)
# Arrows that still point upward or sideways, by module; this table only gets shorter.
STILL_THERE = {
    "cluster.operation_client": {"proxy"},
    "cluster.agent": {"proxy", "turn_store"},
    "cluster.control_client": {"proxy"},
    "cluster.replica_daemon": {"background", "turn_store"},
    "cluster.replica_context": {"turn_store"},
    "cluster.settings": {"proxy"},
    "cluster.status": {"turn_store"},
    "turn_store.client": {"cluster", "proxy"},
    "write_ahead_log.log": {"daemon"},
}
LEVEL = {package: level for level, packages in enumerate(LAYERS) for package in packages}


def imported(path):
    """The packages of this project that a module imports from, at its top or inside a function."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.level == 0 and node.module:
            modules = [node.module] if node.module != "frostpost" else [f"frostpost.{a.name}" for a in node.names]
        elif isinstance(node, ast.Import):
            modules = [a.name for a in node.names]
        else:
            continue
        yield from (m.split(".")[1] for m in modules if m.startswith("frostpost."))


def upward():
    """Arrows by module that do not point down."""
    found = defaultdict(set)
    for path in ROOT.glob("*/*.py"):
        package = path.parent.name
        for other in imported(path):
            if other != package and LEVEL[other] <= LEVEL[package]:
                found[f"{package}.{path.stem}"].add(other)
    return dict(found)


def test_every_package_has_a_layer():
    assert set(chain(*LAYERS)) == {p.name for p in ROOT.iterdir() if p.is_dir() and any(p.glob("*.py"))}


def test_imports_point_downward_but_for_those_still_listed():
    assert {m: others - STILL_THERE.get(m, set()) for m, others in upward().items()} == dict.fromkeys(upward(), set())


def test_packages_of_the_core_import_neither_the_loop_nor_the_machine():
    held = {"twisted", "os", "socket", "time", "threading", "random", "secrets", "subprocess"}
    found = []
    for package in ("virtual_synchrony", "ledger", "program_ledger", "placement"):
        for path in (ROOT / package).glob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                names = [node.module or ""] if isinstance(node, ast.ImportFrom) else []
                names += [a.name for a in node.names] if isinstance(node, ast.Import) else []
                found += [(path.name, n) for n in names if n.split(".")[0] in held]
    assert found == []


# What looks like a module and is a file of the repository.
FILE_ENDINGS = (".md", ".toml", ".py")
PAGES = sorted((ROOT.parent / "docs").rglob("*.md")) + [ROOT.parent / "README.md"]


def names_on_pages():
    """Dotted names of this project's modules, and of what they define, by the page that names them."""
    pattern = re.compile(rf"(?<![\w./-])((?:{'|'.join(LEVEL)})\.[a-z_]+(?:\.\w+)?)\b(?!/)")
    for page in PAGES:
        for name in sorted(set(pattern.findall(page.read_text()))):
            if not name.endswith(FILE_ENDINGS):
                yield page.name, name


@pytest.mark.parametrize("page, name", list(names_on_pages()))
def test_what_a_page_names_is_there(page, name):
    package, module, *attributes = name.split(".")
    found = importlib.import_module(f"frostpost.{package}.{module}")
    assert all(hasattr(found, attribute) for attribute in attributes)
