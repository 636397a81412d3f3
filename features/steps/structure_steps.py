"""Steps: the layout of the code, and the page that describes it."""

from __future__ import annotations

import ast
import re
import tomllib
from importlib import import_module
from pathlib import Path

from behave import then

NAME = re.compile(r"`((?:gateway|router)(?:\.\w+)+)(?::([\w.]+))?`")


def find_attribute(module: str, path: str) -> object:
    found: object = import_module(f"ramppin.{module}")
    for part in path.split("."):
        found = getattr(found, part)
    return found


@then('each module and function named in "{page}" exists')
def step_names(context, page):
    names = NAME.findall(Path(page).read_text())
    assert len(names) > 50, len(names)
    for module, path in names:
        if path:
            assert callable(find_attribute(module, path)), (module, path)
        else:
            import_module(f"ramppin.{module}")


def list_imports(path: Path) -> set[str]:
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            found.add(node.module)
        elif isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
    return found


@then('no module of "{folder}" imports from "{other}"')
def step_imports(context, folder, other):
    paths = list(Path(folder).rglob("*.py"))
    assert paths
    for path in paths:
        wrong = [
            name
            for name in list_imports(path)
            if name == other or name.startswith(f"{other}.")
        ]
        assert not wrong, (path, wrong)


@then('every package of "{folder}" is in pyproject.toml')
def step_packages(context, folder):
    listed = tomllib.loads(Path("pyproject.toml").read_text())
    packages = set(listed["tool"]["setuptools"]["packages"])
    root = Path(folder)
    for path in root.rglob("__init__.py"):
        name = ".".join(path.parent.relative_to(root.parent).parts)
        assert name in packages, name
