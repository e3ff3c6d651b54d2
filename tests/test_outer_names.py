"""Names and texts that leave the process keep their spelling in the files that `outer-names.txt` names.

Guards against a renaming that reaches the wire, the settings, the log, HTTP paths or stored state.
"""

from __future__ import annotations

import ast
import json
import tomllib
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import pytest

ROOT = Path(__file__).parent.parent
LIST = Path(__file__).parent / "data" / "outer-names.txt"


class OuterName(NamedTuple):
    """One line of the list: what the name is, its spelling, and how often its file has it."""

    kind: str
    name: str
    uses: int


def read_list(text: str) -> dict[str, list[OuterName]]:
    """The names of the list by their file; ValueError for a line that has neither two nor three columns."""
    names_by_file: dict[str, list[OuterName]] = {}
    for line in text.splitlines():
        if line.startswith("[") and "\t" not in line:
            names = names_by_file.setdefault(line.strip("[]"), [])
        elif line and not line.startswith("#"):
            kind, name, *uses = line.split("\t")
            (count,) = uses or ["1"]
            names.append(OuterName(kind, name, int(count)))
    return names_by_file


def doc_comments(tree: ast.AST) -> set[int]:
    """Identities of the expressions that are statements by themselves, as doc comments are."""
    return {id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)}


def texts(tree: ast.AST) -> Iterator[str]:
    """Strings and byte strings of a module, doc comments left out, and names of keyword arguments."""
    documentation = doc_comments(tree)
    for node in ast.walk(tree):
        match node:
            case ast.Constant(value=str(text)) if id(node) not in documentation:
                yield text.strip()
            case ast.Constant(value=bytes(data)) if id(node) not in documentation:
                yield data.decode("utf-8", "replace").strip()
            case ast.keyword(arg=str(name)):
                yield name


def identifiers(tree: ast.AST) -> Iterator[str]:
    """Classes that a module defines, and names that it assigns or declares."""
    for node in ast.walk(tree):
        match node:
            case ast.ClassDef(name=name) | ast.Name(id=name, ctx=ast.Store()):
                yield name


def keys(value: Any) -> Iterator[str]:
    """Keys of a document, at any depth."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield key
            yield from keys(inner)
    elif isinstance(value, list):
        for inner in value:
            yield from keys(inner)


def count_names(path: Path) -> dict[str, Counter[str]]:
    """How often a file has each name, by kind of line; every other kind counts among the texts."""
    content = path.read_text()
    match path.suffix:
        case ".toml":
            return {"file key": Counter(keys(tomllib.loads(content)))}
        case ".json":
            return {"file key": Counter(keys(json.loads(content)))}
    tree = ast.parse(content)
    return {"identifier": Counter(identifiers(tree)), "text": Counter(texts(tree))}


def missing_names(path: Path, names: list[OuterName]) -> list[OuterName]:
    """The names that the file has less often than the list says; all where there is no such file."""
    if not path.is_file():
        return names
    counts = count_names(path)
    return [
        name for name in names if counts.get(name.kind, counts.get("text", Counter()))[name.name] < name.uses
    ]


NAMES_BY_FILE = read_list(LIST.read_text())


@pytest.mark.parametrize("file", NAMES_BY_FILE)
def test_names_that_leave_the_process_keep_their_spelling(file: str) -> None:
    assert missing_names(ROOT / file, NAMES_BY_FILE[file]) == []


def test_list_covers_each_way_out_of_the_process() -> None:
    kinds = Counter(name.kind for names in NAMES_BY_FILE.values() for name in names)
    for kind in (
        "bytes",
        "enum value",
        "field",
        "file key",
        "identifier",
        "key",
        "log event",
        "log field",
        "text",
    ):
        assert kinds[kind] > 0


def test_renamed_and_less_used_names_are_found(tmp_path: Path) -> None:
    module = tmp_path / "module.py"
    module.write_text(
        '"""former"""\nclass Usage:\n    size: int\nlog.info("began", peer=1)\nSTATE = b"OK", "two", "two"\n'
    )
    listed = (
        "[module.py]\nlog event\tbegan\t1\nlog field\tpeer\t1\nbytes\tOK\t1\n"
        "other text\ttwo\t2\nidentifier\tsize\n"
    )
    assert missing_names(module, read_list(listed)["module.py"]) == []
    changed = "[module.py]\ntext\tformer\nlog field\tclient\t1\nother text\ttwo\t3\nidentifier\tbound\n"
    missing = missing_names(module, read_list(changed)["module.py"])
    assert [name.name for name in missing] == ["former", "client", "two", "bound"]
    assert missing_names(tmp_path / "gone.py", missing) == missing
