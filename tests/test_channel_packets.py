"""Encoding and decoding of the channels frontend's packets, messages and CHANNEL_OPEN fields."""

from __future__ import annotations

import socket
import struct
from collections.abc import Iterator

import pytest

from linnetshift.event_loop.loop import Loop
from linnetshift.event_loop.stream import Stream
from linnetshift.frontends.channels.channel_open import RETRY_FLAG, RETURNED_FLAG, ChannelOpenRequest
from linnetshift.frontends.channels.message_handlers import HANDLERS
from linnetshift.frontends.channels.messages import (
    DisconnectReason,
    MessageNumber,
    encode_channel_data,
    encode_channel_request,
    encode_disconnect,
    encode_open_confirmation,
    encode_string,
)
from linnetshift.frontends.channels.packets import (
    PayloadReader,
    ProtocolError,
    encode_packet,
    read_identification,
    read_packet,
)
from linnetshift.routing.events import RETRY, RETURNED


class PeerStream(Stream):
    """A stream that also holds its peer's socket: what `peer` sends, the stream receives."""

    def __init__(self) -> None:
        own_end, self.peer = socket.socketpair()
        super().__init__(Loop(), own_end, lambda _: None)


@pytest.fixture
def stream() -> Iterator[PeerStream]:
    peer_stream = PeerStream()
    yield peer_stream
    peer_stream.close()
    peer_stream.peer.close()


def receive(stream: PeerStream, data: bytes) -> None:
    stream.peer.send(data)
    assert stream.fill() is None


@pytest.mark.parametrize("size", range(1, 40))
def test_packet_is_padded_to_blocks_and_read_back(stream: PeerStream, size: int) -> None:
    payload = bytes(range(size))
    packet = encode_packet(payload)
    assert len(packet) % 8 == 0
    assert packet[4] >= 4
    receive(stream, packet[:-1])
    assert read_packet(stream) is None
    receive(stream, packet[-1:])
    assert bytes(read_packet(stream) or b"") == payload
    assert read_packet(stream) is None


@pytest.mark.parametrize(
    ("header", "text"),
    [
        (struct.pack(">I", 34_996 + 8), "packet length 35004 is out of range"),
        (struct.pack(">I", 4), "packet length 4 is out of range"),
        (struct.pack(">I", 13), "packet length 13 is out of range"),
        (struct.pack(">IB", 12, 3), "padding length 3 is out of range"),
        (struct.pack(">IB", 12, 11), "padding length 11 is out of range"),
    ],
)
def test_invalid_packet_is_rejected_before_it_is_complete(
    stream: PeerStream, header: bytes, text: str
) -> None:
    receive(stream, header)
    with pytest.raises(ProtocolError, match=text) as raised:
        read_packet(stream)
    assert raised.value.reason is DisconnectReason.PROTOCOL_ERROR


def test_lines_before_the_identification_are_ignored(stream: PeerStream) -> None:
    receive(stream, b"hello\r\nSSH-2.0-cl")
    assert not read_identification(stream)
    receive(stream, b"ient\r\n")
    assert read_identification(stream)


def test_older_version_is_not_supported(stream: PeerStream) -> None:
    receive(stream, b"SSH-1.5-old\r\n")
    with pytest.raises(ProtocolError) as raised:
        read_identification(stream)
    assert raised.value.reason is DisconnectReason.PROTOCOL_VERSION_NOT_SUPPORTED


def test_message_encodings_match_rfc_4254() -> None:
    assert encode_channel_data(7, memoryview(b"ab")) == b"\x5e\0\0\0\7\0\0\0\2ab"
    assert encode_channel_request(1, b"r") == b"\x62\0\0\0\1\0\0\0\1r\0"
    assert encode_disconnect(DisconnectReason.BY_APPLICATION, "x") == b"\1\0\0\0\x0b\0\0\0\1x\0\0\0\2en"
    confirmation = encode_open_confirmation(1, 2, 3, 4, b"UP")
    assert confirmation == b"\x5b\0\0\0\1\0\0\0\2\0\0\0\3\0\0\0\4\0\0\0\2UP"


def test_field_past_the_end_of_its_message_is_a_protocol_error() -> None:
    reader = PayloadReader(memoryview(b"\0\0\0\5abcd"))
    with pytest.raises(ProtocolError, match="past the end"):
        reader.string()


def test_every_known_message_has_a_handler() -> None:
    assert set(HANDLERS) == set(MessageNumber)
    assert 200 not in HANDLERS


def read_open_request(flags: bytes = b"", tenant: bytes = b"acme") -> ChannelOpenRequest:
    fields = encode_string(b"feed") + encode_string(tenant) + struct.pack(">QQI", 0xAB, 0xC, 500)
    return ChannelOpenRequest.read(PayloadReader(memoryview(fields + flags)))


def test_channel_open_without_flags_is_read() -> None:
    assert read_open_request() == ChannelOpenRequest("feed", "acme", 0xAB, 0xC, 500, 0)
    assert read_open_request().routing_flags == 0


def test_channel_open_flags_reach_routing_and_the_request_line() -> None:
    request = read_open_request(struct.pack(">I", RETRY_FLAG | RETURNED_FLAG))
    assert request.routing_flags == RETRY | RETURNED
    line = request.request_line_encoder()(250)
    assert line.endswith(b" 00000000000000ab c=feed,t=acme,d=250,g=000000000000000c,r=1,again=1\r\n")
    assert line.startswith(b"OPEN ")


@pytest.mark.parametrize("tenant", [b"a b", b"a,b", b"a=b", b"\x7f", b"x" * 201])
def test_tenant_not_allowed_in_a_request_line_is_invalid(tenant: bytes) -> None:
    assert not read_open_request(tenant=tenant).has_valid_tenant
    assert read_open_request(tenant=b"x" * 200).has_valid_tenant
