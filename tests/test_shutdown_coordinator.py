"""When the shutdown coordinator starts, shortens and cancels the graceful shutdown; its parts are fakes."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from linnetshift.lifecycle import shutdown_coordinator
from linnetshift.lifecycle.shutdown_coordinator import ShutdownCoordinator


class Recorder:
    """Fake of all parts that the coordinator acts on; records the actions."""

    def __init__(self) -> None:
        self.actions: list[str] = []
        self.is_draining = False
        self.frontend = SimpleNamespace()

    def stop(self) -> None:
        self.actions.append("stop-vrrp")

    def shutdown(self, _loop: Any, _broker: Any, _clients: Any, is_replaced: bool) -> Any:
        """A graceful shutdown that only records the calls."""
        kind = "replaced" if is_replaced else "signalled"
        return SimpleNamespace(
            run=lambda: None,
            start=lambda _coroutine: self.actions.append(f"start-{kind}"),
            shorten=lambda: self.actions.append("shorten"),
            end=lambda: self.actions.append("end"),
        )


@pytest.fixture
def recorder(monkeypatch: pytest.MonkeyPatch) -> Recorder:
    recorder = Recorder()
    monkeypatch.setattr(shutdown_coordinator, "GracefulShutdown", recorder.shutdown)
    return recorder


def coordinator(recorder: Any) -> ShutdownCoordinator:
    return ShutdownCoordinator(recorder, recorder, recorder, recorder, recorder)


def test_second_signal_has_no_effect(recorder: Recorder) -> None:
    shutdown = coordinator(recorder)
    shutdown.terminate(is_replaced=False)
    shutdown.terminate(is_replaced=False)
    assert shutdown.is_terminating
    assert recorder.is_draining
    assert recorder.actions == ["stop-vrrp", "start-signalled"]


def test_signal_shortens_the_shutdown_of_a_replaced_process(recorder: Recorder) -> None:
    shutdown = coordinator(recorder)
    shutdown.shut_down_replaced()
    assert not shutdown.is_terminating
    shutdown.terminate(is_replaced=True)
    assert recorder.actions == ["start-replaced", "shorten"]


def test_signal_after_a_cancelled_shutdown_starts_a_new_one(recorder: Recorder) -> None:
    shutdown = coordinator(recorder)
    shutdown.shut_down_replaced()
    shutdown.cancel()
    shutdown.terminate(is_replaced=False)
    assert recorder.actions == ["start-replaced", "end", "stop-vrrp", "start-signalled"]
