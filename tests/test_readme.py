"""The README's example runs as printed."""

from __future__ import annotations

import re
from pathlib import Path

import pytest


def test_readme_example_runs_as_printed(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    (example,) = re.findall(r"```python\n(.*?)```", text, re.S)
    exec(compile(example, "README.md", "exec"), {})
    assert re.fullmatch(r"request 1 goes to 10\.0\.0\.[123]\n", capsys.readouterr().out)
