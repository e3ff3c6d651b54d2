"""Signals that arrive before the process accepts connections."""

from __future__ import annotations

import json
import os
import select
import signal
import tomllib
from pathlib import Path

import pytest
from connections import WAIT_S
from proxy_harness import ROOT, launch_process, proxy_environment
from running_proxy import RunningProxy


def open_when_process_reads(process_id: int, fifo: Path) -> int:
    """Open the pipe for writing, which waits until the process opens it for reading."""
    assert process_id
    return os.open(fifo, os.O_WRONLY)


@pytest.mark.parametrize("signal_number", [signal.SIGHUP, signal.SIGTERM])
def test_signal_before_configuration_is_read_takes_effect_after_start(
    tmp_path: Path, signal_number: signal.Signals
) -> None:
    # The signal ended the process when handlers were installed only once all parts were listening.
    with proxy_environment(tmp_path) as environment:
        config_text = environment.config.read_text()
        environment.config.unlink()
        os.mkfifo(environment.config)
        process = launch_process(str(environment.config), str(environment.broker_file))
        running = RunningProxy(process, environment.port, environment.channels_port)
        try:
            # From here on the process blocks in its read of the file.
            writer = open_when_process_reads(process.pid, environment.config)
            process.send_signal(signal_number)
            os.write(writer, config_text.encode())
            os.close(writer)
            running.logged("event=process-started")
            if signal_number == signal.SIGHUP:
                writer = open_when_process_reads(process.pid, environment.config)
                os.write(writer, json.dumps(json.loads(config_text)).encode())
                os.close(writer)
                running.logged("event=configuration-reloaded")
                assert running.alive()
            else:
                running.logged("event=shutdown-started")
                assert process.wait(WAIT_S) == 0
        finally:
            process.kill()
            process.wait(WAIT_S)


def test_sighup_during_interpreter_start_is_ignored(tmp_path: Path) -> None:
    # A SIGHUP sent to every proxy also reaches those that were just restarted.
    run_command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    command = run_command.replace(".venv/bin/python -m linnetshift", f"cat {tmp_path}/fifo")
    assert command != run_command
    os.mkfifo(tmp_path / "fifo")
    process = launch_process("", command=("/bin/sh", "-c", command))
    writer = open_when_process_reads(process.pid, tmp_path / "fifo")
    process.send_signal(signal.SIGHUP)
    os.close(writer)
    assert process.wait(WAIT_S) == 0
    assert process.stderr is not None
    assert select.select([process.stderr], [], [], WAIT_S)[0]
