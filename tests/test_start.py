"""Signals that arrive before the process serves."""

from __future__ import annotations

import json
import os
import select
import signal
import tomllib
from pathlib import Path

import pytest
from proxy import ROOT, WAIT, RunningProxy, launch, world


def read_by(process_id: int, fifo: Path) -> int:
    """Open the pipe for writing, which waits until the process opens it for reading."""
    assert process_id
    return os.open(fifo, os.O_WRONLY)


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_signal_before_the_files_are_read_is_acted_on_after_the_start(
    tmp_path: Path, number: signal.Signals
) -> None:
    # It ended the process: it was not caught before all parts were wired and the address was open.
    with world(tmp_path) as made:
        text = made.config.read_text()
        made.config.unlink()
        os.mkfifo(made.config)
        process = launch(str(made.config), str(made.own))
        running = RunningProxy(process, made.port, made.extra)
        try:
            writer = read_by(process.pid, made.config)  # it reads from now on, and has nothing yet
            process.send_signal(number)
            os.write(writer, text.encode())
            os.close(writer)
            running.logged("event=process-started")
            if number == signal.SIGHUP:
                writer = read_by(process.pid, made.config)
                os.write(writer, json.dumps(json.loads(text)).encode())
                os.close(writer)
                running.logged("event=configuration-reloaded")
                assert running.alive()
            else:
                running.logged("event=shutdown-started")
                assert process.wait(WAIT) == 0
        finally:
            process.kill()
            process.wait(WAIT)


def test_hang_up_while_python_starts_is_ignored(tmp_path: Path) -> None:
    # A reload that is sent to every proxy also reaches those that were restarted a moment ago.
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    command = run.replace(".venv/bin/python -m linnetshift", f"cat {tmp_path}/word")
    assert command != run
    os.mkfifo(tmp_path / "word")
    process = launch("", command=("/bin/sh", "-c", command))
    writer = read_by(process.pid, tmp_path / "word")
    process.send_signal(signal.SIGHUP)
    os.close(writer)
    assert process.wait(WAIT) == 0
    assert select.select([process.stderr], [], [], WAIT)[0]
