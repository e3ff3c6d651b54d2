"""Modules, packages, files and classes that the pages name in backquotes exist."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "linnetshift"
SEARCHED = (ROOT, PACKAGE, ROOT / "tests", ROOT / "example", ROOT / "bench")
"""Directories that a path in a page may be relative to."""

PAGES = (
    "README.md",
    "docs/architecture.md",
    "docs/decisions.md",
    "docs/ended-connections.md",
    "docs/memory.md",
    "docs/operating-large-fleets.md",
    "docs/questions.md",
    "docs/runbook.md",
    "docs/serving-another-deployment.md",
)

FILE_OR_DIRECTORY = re.compile(r"(?:[\w.-]+/)*(?:[\w-]+\.(?:py|md|toml|json)|[\w-]+/)")
CLASS_OR_MEMBER = re.compile(r"([A-Z][a-z]\w*)(?:\.(\w+))?(?:\(.*\))?")
DOTTED_MODULE = re.compile(r"linnetshift(?:\.\w+)+")


def backquoted(text: str) -> list[str]:
    """What stands in backquotes outside blocks of code."""
    prose = re.sub(r"```.*?```", "", text, flags=re.DOTALL)
    return re.findall(r"`([^`\n]+)`", prose)


def path_exists(name: str) -> bool:
    """Whether a path of a page exists, in any directory that it may be relative to."""
    return any((directory / name).exists() for directory in SEARCHED)


def module_exists(path: Path) -> bool:
    """Whether there is a module or package of that path, without the suffix."""
    return path.is_dir() or path.with_suffix(".py").is_file()


def missing_names(text: str) -> list[str]:
    """Paths and dotted modules in the page that do not exist; a quoted command counts by its words."""
    words = [word for quoted in backquoted(text) for word in quoted.split()]
    return [
        word
        for word in words
        if (FILE_OR_DIRECTORY.fullmatch(word) and not path_exists(word))
        or (DOTTED_MODULE.fullmatch(word) and not module_exists(ROOT.joinpath(*word.split("."))))
    ]


def missing_modules(cell: str) -> list[str]:
    """Modules of a cell that do not exist.

    `package/` is followed by its modules, with or without `.py`; `package/module.py` names its package too,
    and modules after it are of the same one.
    """
    missing = []
    directory = PACKAGE
    for name in backquoted(cell):
        if "/" in name:
            directory = PACKAGE / name.rpartition("/")[0]
        module = directory / name.rpartition("/")[2]
        exists = module_exists(module.with_suffix(""))
        # A module of the package itself, as `proxy.py`, may stand among those of a subpackage.
        if not exists and not module_exists(PACKAGE / name.removesuffix(".py")):
            missing.append(name)
    return missing


@cache
def class_members() -> dict[str, set[str]]:
    """Methods, properties and attributes of each class of the package, by its name; none of a type alias."""
    members: dict[str, set[str]] = {}
    for path in PACKAGE.rglob("*.py"):
        module = ast.parse(path.read_text())
        for definition in ast.walk(module):
            if isinstance(definition, ast.ClassDef):
                members.setdefault(definition.name, set()).update(assigned_names(definition))
        for statement in module.body:
            match statement:
                case ast.Assign(targets=[ast.Name(id=alias)]) | ast.AnnAssign(target=ast.Name(id=alias)):
                    members.setdefault(alias, set())
    return members


def assigned_names(definition: ast.ClassDef) -> Iterator[str]:
    """Functions that a class defines, and names and attributes that it assigns."""
    for node in ast.walk(definition):
        match node:
            case ast.FunctionDef(name=name) | ast.Name(id=name, ctx=ast.Store()):
                yield name
            case ast.Attribute(attr=name, ctx=ast.Store()):
                yield name


def missing_classes(text: str) -> list[str]:
    """Classes, and members of classes, in the page that do not exist."""
    members = class_members()
    missing = []
    for quoted in backquoted(text):
        named = CLASS_OR_MEMBER.fullmatch(quoted)
        if named is None:
            continue
        class_name, member = named.groups()
        if class_name not in members or (member is not None and member not in members[class_name]):
            missing.append(quoted)
    return missing


def glossary_cells(begin: str, end: str) -> Iterator[str]:
    """The second cells, which have the names of now, of the glossary's rows between two headings."""
    glossary = (ROOT / "docs" / "glossary.md").read_text()
    section = glossary[glossary.index(begin) : glossary.index(end) if end else None]
    for row in re.findall(r"^\| .*\|$", section, re.MULTILINE):
        yield row.split("|")[2]


@pytest.mark.parametrize("page", PAGES)
def test_paths_and_modules_that_a_page_names_exist(page: str) -> None:
    assert missing_names((ROOT / page).read_text()) == []


def test_classes_that_a_page_names_exist() -> None:
    pages = [(ROOT / page).read_text() for page in PAGES]
    cells = list(glossary_cells("## Endpoints and discovery", "## Two spellings"))
    assert len(cells) > 50
    assert [name for text in (*pages, *cells) for name in missing_classes(text)] == []


def test_modules_that_the_glossary_names_as_those_of_now_exist() -> None:
    cells = list(glossary_cells("## Modules: before and now", ""))
    assert len(cells) > 15
    assert [name for cell in cells for name in missing_modules(cell)] == []


def test_wrong_paths_and_dotted_modules_are_found() -> None:
    page = "`broker/broker.py`, `broker/former.py`, `former/`, `linnetshift.former`, `python bench/former.py`"
    assert missing_names(page) == ["broker/former.py", "former/", "linnetshift.former", "bench/former.py"]


def test_wrong_modules_of_a_package_are_found() -> None:
    cell = " `broker/` `broker`, `former`; `routing/former.py`, `events.py`, `proxy.py`; `former/` "
    assert missing_modules(cell) == ["former", "routing/former.py", "former/"]


def test_wrong_classes_and_members_are_found() -> None:
    page = "`Balancer`, `Balancer.step(now, events)`, `Former`, `Balancer.former`, `HotRestart.start`"
    assert missing_classes(page) == ["Former", "Balancer.former"]
