"""The lines that two processes, which may be of different versions, exchange in a hot restart."""

from __future__ import annotations

import pytest

from linnetshift.broker.contracts import Contract, Contracts
from linnetshift.broker.latency_estimator import ConnectionLoad
from linnetshift.lifecycle.hot_restart import CompletionCounter
from linnetshift.lifecycle.takeover_messages import (
    AdministrativeDrain,
    AdministrativeDrainConfirmed,
    ExportedState,
    Heartbeat,
    MessageError,
    PeerResources,
    PlainMessage,
    ReceivedMessage,
    SentMessage,
    UnknownMessage,
    decode_message,
    encode_message,
)
from linnetshift.lifecycle.token_bucket_state import export_token_buckets, restore_token_bucket
from linnetshift.util.token_bucket import TokenBucket

RESOURCES = PeerResources(3, 2, {b"s-0": [ConnectionLoad(5.0, 1, 0), ConnectionLoad(None, 2, 0)]})
RESOURCES_JSON = '"streams": 3, "loads": {"s-0": [[5.0, 1], [null, 2]]}, "moved": 2'
EXCHANGED: list[tuple[SentMessage, str]] = [
    (PlainMessage.HELLO, '{"say": "hello"}'),
    (PlainMessage.SERVING, '{"say": "serving"}'),
    (PlainMessage.STOPPED, '{"say": "stopped"}'),
    (AdministrativeDrain(b"s-0", True, 4), '{"say": "ban", "provider": "s-0", "out": true, "number": 4}'),
    (AdministrativeDrainConfirmed(4), '{"say": "held", "number": 4}'),
    (Heartbeat(RESOURCES), f'{{"say": "beat", {RESOURCES_JSON}}}'),
]


@pytest.mark.parametrize(("message", "line"), EXCHANGED)
def test_message_is_encoded_to_the_fixed_line(message: SentMessage, line: str) -> None:
    assert encode_message(message) == line.encode() + b"\n"


@pytest.mark.parametrize(("message", "line"), EXCHANGED)
def test_fixed_line_is_decoded_to_the_message(message: ReceivedMessage, line: str) -> None:
    decoded = decode_message(line.encode() + b"\n")
    assert type(decoded) is type(message)
    assert decoded == message


def test_exported_state_keeps_the_keys_and_their_order() -> None:
    state = ExportedState(
        endpoint_list={"rev": 7},
        administrative_drains={"gone": []},
        token_buckets={"acme": [None, [1.5, 9]]},
        peer_resources=RESOURCES,
        snapshot={"node": {}},
        is_vrrp_active=True,
        closes_listener=True,
        broker_file={"config": {}},
        descriptors={"channels": 8, "vrrp": 5},
    )
    assert encode_message(state).decode() == (
        '{"say": "state", "list": {"rev": 7}, "bans": {"gone": []}, "budgets": {"acme": [null, [1.5, 9]]}, '
        f'"holdings": {{{RESOURCES_JSON}}}, "memory": {{"node": {{}}}}, "active": true, '
        '"passed": ["channels", "vrrp"], "closes_listener": true, "broker_file": {"config": {}}}\n'
    )


@pytest.mark.parametrize("kind", ["state", "greeting", ""])
def test_unknown_kind_is_decoded_to_an_unknown_message(kind: str) -> None:
    assert decode_message(b'{"say": "%s", "more": [1]}\n' % kind.encode()) == UnknownMessage(kind)


def test_heartbeat_without_resources_has_empty_ones() -> None:
    assert decode_message(b'{"say": "beat", "later": true}\n') == Heartbeat(PeerResources())


@pytest.mark.parametrize(
    ("line", "text"),
    [
        (b"{}", "KeyError: 'say'"),
        (b'{"say": 5}', "ValueError: says nothing"),
        (b"5", "TypeError: 'int' object is not subscriptable"),
        (b'{"say": "ban", "provider": "s-0", "out": true}', "KeyError: 'number'"),
        (b'{"say": "held", "number": Infinity}', "OverflowError: cannot convert float infinity to integer"),
        (b'{"say": "beat", "streams": -1}', "ValueError: impossible holdings"),
        (b'{"say": "beat", "moved": 4611686018427387904}', "ValueError: impossible holdings"),
        (b'{"say": "beat", "loads": {"s-0": [[NaN, 1]]}}', "ValueError: impossible load"),
        (b'{"say": "beat", "loads": {"s-0": [[-1, 1]]}}', "ValueError: impossible load"),
        (b'{"say": "beat", "loads": []}', "AttributeError: 'list' object has no attribute 'items'"),
    ],
)
def test_invalid_line_raises_an_error_that_names_the_cause(line: bytes, text: str) -> None:
    with pytest.raises(MessageError) as raised:
        decode_message(line + b"\n")
    assert str(raised.value) == text


@pytest.mark.parametrize(
    "line", [b"[" * 200_000, b"\xff\xfe\xfd", b'{"say": "held", "number": "' + b"9" * 5000]
)
def test_line_that_is_not_json_raises_an_error_of_bounded_length(line: bytes) -> None:
    with pytest.raises(MessageError) as raised:
        decode_message(line + b"\n")
    assert len(str(raised.value)) < 250


def test_counter_calls_done_once_after_the_last_step() -> None:
    calls: list[str] = []
    counter = CompletionCounter(3, lambda: calls.append("done"))
    counter.complete_one()
    counter.complete_one()
    assert not calls
    counter.complete_one()
    assert calls == ["done"]


def test_token_buckets_of_named_teams_are_exported_and_restored() -> None:
    limited = Contract(rate=TokenBucket(10.0, 5.0, 2.5, 7), retries=None)
    contracts = Contracts(
        {1: limited, 2: Contract()}, {"later": limited}, team_numbers={"acme": 1, "globex": 3}
    )
    exported = export_token_buckets(contracts)
    assert exported == {"acme": [[2.5, 7], None], "later": [[2.5, 7], None]}
    restored = TokenBucket(20.0, 5.0)
    restore_token_bucket(restored, exported["acme"][0])
    assert (restored.rate_per_s, restored.level, restored.refilled_at_ns) == (20.0, 2.5, 7)


def test_token_bucket_stays_full_where_the_predecessor_had_no_limit() -> None:
    bucket = TokenBucket(20.0, 5.0)
    restore_token_bucket(bucket, None)
    restore_token_bucket(None, [1.0, 2])
    assert bucket == TokenBucket(20.0, 5.0)
