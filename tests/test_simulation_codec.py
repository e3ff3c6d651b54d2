"""The binary codec and the adapter of the simulator, including malformed frames."""

from __future__ import annotations

import io
import json
import struct
import subprocess
import sys

import pytest
from conftest import S, endpoint, entry, raw_settings

from linnetshift.routing.actions import (
    ALL_PEERS,
    Action,
    Cancel,
    Fail,
    FetchList,
    HealthCheck,
    Log,
    Migrate,
    Reject,
    Send,
    SendPeerMessage,
    SetTimer,
    Watch,
)
from linnetshift.routing.events import (
    AdoptedConnection,
    AttemptEnded,
    ConnectionEstablished,
    ConnectionNote,
    EndpointEntry,
    EndpointList,
    Event,
    HealthCheckResult,
    PeerMessage,
    Request,
    RequestWithdrawn,
    TimerFired,
)
from linnetshift.simulation import adapter
from linnetshift.simulation.batch_decoder import decode_batch
from linnetshift.simulation.reply_encoder import encode_reply
from linnetshift.simulation.wire import MAX_TEXT_BYTES, Halt, InstanceFault, WireError


def frame(*records: bytes, now: int = S, count: int | None = None) -> bytes:
    body = b"".join(records)
    return struct.pack(">IIQ", 16 + len(body), len(records) if count is None else count, now) + body


def select_instance(number: int) -> bytes:
    return struct.pack(">BI", 12, number)


def create_record(**changes: object) -> bytes:
    text = json.dumps(raw_settings(**changes)).encode()
    return struct.pack(">BQI", 0, 7, len(text)) + text


def list_record(form: int, *entries: EndpointEntry) -> bytes:
    rows = b"".join(struct.pack(">6sHHHBfQ", *e[:7]) for e in entries)
    return struct.pack(">BBQI", 1, form, 3, len(entries)) + rows


def request_record(request_id: int, group: int = 5) -> bytes:
    return struct.pack(">BIQQBQHIQ", 2, request_id, group, 0, 0, 9, 0, 0, 2 * S)


HALT = b"\x09"

EVENTS = [  # pairs, since tuples with equal content are equal whatever their type
    (Request(1, 0, 2, 4, 3, 8, 5, 6), struct.pack(">BIQQBQHIQ", 2, 1, 2, 3, 0, 4, 8, 5, 6)),
    (
        AdoptedConnection(1, 0, 5, 3, 2, 16, 6, endpoint(1)),
        struct.pack(">BIQQQHQ6sIB", 10, 1, 9, 2, 3, 16, 5, endpoint(1), 6, 0),
    ),
    (ConnectionEstablished(1, 2, endpoint(3), 4), struct.pack(">BIQB6s", 3, 1, 4, 2, endpoint(3))),
    (ConnectionNote(1, 2, endpoint(3), 1, 0.5), struct.pack(">BIB6sBf", 11, 1, 2, endpoint(3), 1, 0.5)),
    (
        AttemptEnded(1, 2, endpoint(3), True, 4, 5, (0.5, 1.5)),
        struct.pack(">BI6sBBQHB2f", 4, 1, endpoint(3), 1, 2, 4, 5, 2, 0.5, 1.5),
    ),
    (RequestWithdrawn(4), struct.pack(">BI", 5, 4)),
    (TimerFired(4), struct.pack(">BI", 6, 4)),
    (
        HealthCheckResult(endpoint(3), 1, 9, (0.25,)),
        struct.pack(">BHQ6sBf", 7, 1, 9, endpoint(3), 1, 0.25),
    ),
    (PeerMessage(3, b"hi"), struct.pack(">BHH", 8, 3, 2) + b"hi"),
    (EndpointList(2, 3, (entry(1), entry(2))), list_record(2, entry(1), entry(2))),
    (Halt(), HALT),
]


@pytest.mark.parametrize(("event", "record"), EVENTS, ids=lambda v: type(v).__name__)
def test_every_event_is_decoded(event: Event, record: bytes) -> None:
    assert decode_batch(frame(select_instance(6), record, now=77)) == (77, [(6, [event])])


def test_events_are_grouped_by_instance_in_order() -> None:
    timer = struct.pack(">BI", 6, 4)
    _, instance_events = decode_batch(
        frame(select_instance(1), timer, timer, select_instance(2), select_instance(1), timer)
    )
    assert [(number, len(events)) for number, events in instance_events] == [(1, 2), (2, 0), (1, 1)]


ACTIONS = [  # pairs, since tuples with equal content are equal whatever their type
    (Send(1, endpoint(2), 3), struct.pack(">BIq6s", 0, 1, 3, endpoint(2))),
    (Reject(1, 2), struct.pack(">BIQ", 1, 1, 2)),
    (Fail(1), struct.pack(">BI", 2, 1)),
    (Cancel(1, 2), struct.pack(">BIB", 3, 1, 2)),
    (SetTimer(5, 6), struct.pack(">BQI", 4, 5, 6)),
    (HealthCheck(endpoint(1)), b"\x05" + endpoint(1)),
    (SendPeerMessage(ALL_PEERS, b"hi"), b"\x07\xff\xff\x00\x02hi"),
    (Log("line"), b"\x08\x00\x04line"),
    (Watch(True), b"\n\x01"),
    (FetchList(), b"\x0b"),
    (Migrate(9), struct.pack(">BI", 12, 9)),
]


@pytest.mark.parametrize(("action", "record"), ACTIONS, ids=lambda v: type(v).__name__)
def test_every_action_is_encoded(action: Action, record: bytes) -> None:
    body = struct.pack(">BI", 13, 3) + record
    assert encode_reply([(2, []), (3, [action])]) == struct.pack(">I", 4 + len(body)) + body


TIMER = struct.pack(">BI", 6, 4)
MALFORMED = {
    "unknown code": frame(select_instance(1), b"\x63"),
    "truncated record": frame(select_instance(1), TIMER[:-1]),
    "truncated bytes": frame(select_instance(1), struct.pack(">BHH", 8, 3, 9) + b"hi"),
    "too few records": frame(select_instance(1), TIMER, count=3),
    "trailing bytes": frame(select_instance(1), TIMER, count=1),
    "event before any instance": frame(TIMER),
    "length too small": struct.pack(">I", 3) + b"\0" * 12,
    "length past the end": struct.pack(">IIQ", 99, 0, 1),
    "half a length": b"\0\0",
}


@pytest.mark.parametrize("data", MALFORMED.values(), ids=MALFORMED.keys())
def test_malformed_frame_ends_the_adapter_with_exit_status_1_and_one_line_of_error(data: bytes) -> None:
    run = subprocess.run(
        [sys.executable, "-m", "linnetshift.simulation"], input=data, capture_output=True, timeout=60
    )
    assert run.returncode == 1
    assert run.stdout == b""
    assert run.stderr.count(b"\n") == 1
    assert run.stderr.startswith(b"linnetshift: ")


def test_empty_batches_get_empty_replies_until_the_input_ends() -> None:
    run = subprocess.run(
        [sys.executable, "-m", "linnetshift.simulation"], input=frame() * 2, capture_output=True, timeout=60
    )
    assert (run.returncode, run.stdout, run.stderr) == (0, struct.pack(">I", 4) * 2, b"")


def replies(*frames: bytes) -> bytes:
    sink = io.BytesIO()
    adapter.serve(io.BytesIO(b"".join(frames)), sink)
    return sink.getvalue()


def test_request_is_sent_by_its_own_instance_only() -> None:
    start = frame(
        select_instance(1),
        create_record(),
        list_record(2, entry(1)),
        select_instance(2),
        create_record(),
        list_record(2),
        now=S,
    )
    output = replies(
        start, frame(select_instance(1), request_record(1), select_instance(2), request_record(1), now=2 * S)
    )
    body = struct.pack(">BIBIq6s", 13, 1, 0, 1, 2 * S, endpoint(1))
    assert body in output
    assert output.count(b"\x0d\0\0\0\x02") == 1


def test_instance_created_again_within_one_batch_starts_without_state() -> None:
    start = frame(select_instance(1), create_record(), list_record(2, entry(1)), now=S)
    after_halt = frame(
        select_instance(1),
        request_record(1),
        HALT,
        create_record(),
        list_record(2, entry(2)),
        request_record(2),
        now=2 * S,
    )
    output = replies(start, after_halt)
    assert endpoint(2) in output
    assert endpoint(1) not in output
    assert (
        replies(start, frame(select_instance(1), HALT), frame(select_instance(1), TIMER))
        == struct.pack(">I", 4) * 3
    )


@pytest.mark.parametrize(
    ("settings", "text"),
    [
        (b"{", "not JSON"),
        (b"[]", "not a JSON object"),
        (b'{"myNumber": 0}', "'rules' is missing"),
        (json.dumps(raw_settings(balancers="many")).encode(), "'balancers' must be a whole number"),
        (json.dumps(raw_settings(rules={"coldFrom": None})).encode(), "'rules.coldFrom' must be a number"),
        (json.dumps(raw_settings(discovery="guess")).encode(), "'discovery' has a value"),
    ],
)
def test_invalid_settings_cause_a_fault_that_names_the_key(settings: bytes, text: str) -> None:
    record = struct.pack(">BQI", 0, 7, len(settings)) + settings
    output = replies(frame(select_instance(4), record))
    assert output[4:9] == struct.pack(">BI", 13, 4)
    assert output[9] == 9
    assert text.encode() in output


def test_unknown_settings_are_ignored() -> None:
    assert replies(
        frame(select_instance(1), create_record(novelty={"x": 1}), list_record(2, entry(1)))
    ) == struct.pack(">I", 4)


@pytest.mark.parametrize(
    ("data", "text"),
    [
        (frame(select_instance(1), b"\x63"), "unknown event code 99"),
        (
            frame(select_instance(1), struct.pack(">BHH", 8, 3, 9) + b"hi"),
            "a field runs past the end of the frame",
        ),
        (frame(select_instance(1), TIMER[:-1]), "truncated record: unpack_from requires a buffer"),
        (frame(select_instance(1), TIMER, count=1), "5 bytes follow the last record"),
        (frame(TIMER), "event before any instance was named"),
        (b"\0" * 15, "frame is shorter than its header"),
        (frame() + b"\0", "frame says 16 bytes but has 17"),
    ],
)
def test_malformed_frame_raises_an_error_that_says_what_is_wrong(data: bytes, text: str) -> None:
    with pytest.raises(WireError) as raised:
        decode_batch(data)
    assert text in str(raised.value)


def test_fault_is_the_last_record_after_the_actions_of_other_instances() -> None:
    timer = struct.pack(">BIBQI", 13, 2, 4, 5, 6)
    fault = struct.pack(">BIBH", 13, 3, 9, 3) + b"bad"
    reply = encode_reply([(2, [SetTimer(5, 6)]), (3, [])], InstanceFault(3, "bad"))
    assert reply == struct.pack(">I", 4 + len(timer) + len(fault)) + timer + fault


def test_long_texts_are_truncated_to_the_maximum_length() -> None:
    reply = encode_reply([(1, [Log("x" * (MAX_TEXT_BYTES + 1))])])
    assert (
        reply == struct.pack(">IBIBH", 12 + MAX_TEXT_BYTES, 13, 1, 8, MAX_TEXT_BYTES) + b"x" * MAX_TEXT_BYTES
    )


def test_fault_of_one_instance_keeps_the_actions_of_earlier_ones() -> None:
    start = frame(select_instance(1), create_record(), list_record(2, entry(1)), now=S)
    bad = struct.pack(">BQI", 0, 7, 1) + b"{"
    output = replies(start, frame(select_instance(1), request_record(1), select_instance(2), bad, now=2 * S))
    assert struct.pack(">BIq6s", 0, 1, 2 * S, endpoint(1)) in output
    assert struct.pack(">BIB", 13, 2, 9) in output
    assert b"SettingsError: settings are not JSON" in output
