"""CHANNEL_OPEN: the form of a request on this frontend, its checks, and the channel made from it."""

from __future__ import annotations

import re
import secrets
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from linnetshift.broker.active_request import ActiveRequest
from linnetshift.config.names import UNKNOWN_NUMBER
from linnetshift.event_loop.connection_limits import MAX_WAIT_MS
from linnetshift.event_loop.timers import MS
from linnetshift.frontends.channels.channel import Channel
from linnetshift.frontends.channels.messages import (
    OpenFailureReason,
    encode_open_failure,
    retry_after_text,
)
from linnetshift.frontends.channels.packets import PayloadReader
from linnetshift.frontends.listener import ANSWER_MARGIN_NS
from linnetshift.observability.log import MAX_LOGGED_CHARS
from linnetshift.routing.events import RETRY, RETURNED

if TYPE_CHECKING:
    from linnetshift.frontends.channels.session import Session

CHANNEL_TYPE = "invocation@linnetshift"
# The bits of the flags field.
RETRY_FLAG = 1
RETURNED_FLAG = 2
MAX_TENANT_CHARS = MAX_LOGGED_CHARS  # as many as are logged of a peer's text
MAX_SESSION_CHANNELS = 256
# When all sessions together have too many channels, clients come back after this.
OVERLOADED_RETRY_AFTER_MS = 1000
# Control characters, space, and what separates the NAME=VALUE pairs of a request line; the tenant is one.
INVALID_TENANT_CHARACTERS = re.compile(r"[\x00-\x20,=\x7f]")


class ChannelOpenError(ValueError):
    """A channel that is not opened; reason and text go into CHANNEL_OPEN_FAILURE."""

    def __init__(self, reason: OpenFailureReason, text: str) -> None:
        """`text` is for people; clients go by the reason."""
        super().__init__(text)
        self.reason = reason


class ChannelOpenRequest(NamedTuple):
    """The fields of CHANNEL_OPEN that are specific to the channel type."""

    class_name: str
    tenant: str
    key: int
    group: int  # 0 for none
    wait_ms: int  # how long the client waits for an answer; 0 for the class's deadline
    flags: int

    @classmethod
    def read(cls, payload: PayloadReader) -> ChannelOpenRequest:
        """Read them in the order they have on the wire; older clients send no flags."""
        return cls(
            class_name=payload.text(),
            tenant=payload.text(),
            key=payload.uint64(),
            group=payload.uint64(),
            wait_ms=payload.uint32(),
            flags=payload.uint32() if payload.rest else 0,
        )

    @property
    def has_valid_tenant(self) -> bool:
        """Whether the tenant's name can stand in a request line."""
        return len(self.tenant) <= MAX_TENANT_CHARS and INVALID_TENANT_CHARACTERS.search(self.tenant) is None

    @property
    def routing_flags(self) -> int:
        """The flags as the routing events have them."""
        retry = RETRY if self.flags & RETRY_FLAG else 0
        returned = RETURNED if self.flags & RETURNED_FLAG else 0
        return retry | returned

    def request_line_encoder(self) -> Callable[[int], bytes]:
        """What encodes the endpoint's request line, given the milliseconds that remain for its answer."""
        head = f"OPEN {secrets.randbits(64):016x} {self.key:016x} c={self.class_name},t={self.tenant},d="
        options = f",g={self.group:016x}" if self.group else ""
        if self.flags & RETRY_FLAG:
            options += ",r=1"
        if self.flags & RETURNED_FLAG:
            options += ",again=1"

        def encode(remaining_ms: int) -> bytes:
            return f"{head}{remaining_ms}{options}\r\n".encode()

        return encode


def handle_channel_open(session: Session, payload: PayloadReader) -> None:
    """Submit the request to the broker, or answer why the channel is not opened."""
    channel_type = payload.text()
    sender_channel = payload.uint32()
    initial_window = payload.uint32()
    max_packet_bytes = payload.uint32()
    try:
        if channel_type != CHANNEL_TYPE:
            raise ChannelOpenError(OpenFailureReason.UNKNOWN_CHANNEL_TYPE, f"only {CHANNEL_TYPE} is known")
        open_request = ChannelOpenRequest.read(payload)
        class_number = find_class(session, open_request)
        check_capacity(session)
    except ChannelOpenError as error:
        session.write(encode_open_failure(sender_channel, error.reason, str(error)))
        return
    channel = Channel(
        session, next(session.channel_numbers), sender_channel, initial_window, max_packet_bytes
    )
    channel.request = create_request(channel, class_number, open_request)
    session.add_channel(channel)
    session.broker.submit(channel.request)


def find_class(session: Session, open_request: ChannelOpenRequest) -> int:
    """The number of the request's class; raises ChannelOpenError where a field has an impossible value."""
    class_number = session.frontend.names.classes.get(open_request.class_name)
    if class_number is None or not open_request.has_valid_tenant or open_request.wait_ms > MAX_WAIT_MS:
        raise ChannelOpenError(
            OpenFailureReason.CONNECT_FAILED, "unknown class, impossible tenant or deadline"
        )
    return class_number


def check_capacity(session: Session) -> None:
    """Raise ChannelOpenError where no more channels are taken, here or in all sessions together."""
    if session.frontend.is_draining or len(session.channels) >= MAX_SESSION_CHANNELS:
        raise ChannelOpenError(OpenFailureReason.RESOURCE_SHORTAGE, retry_after_text(0))
    if session.frontend.is_full:
        # A channel costs its client nothing: without a bound, those that wait would fill memory.
        text = retry_after_text(OVERLOADED_RETRY_AFTER_MS)
        raise ChannelOpenError(OpenFailureReason.RESOURCE_SHORTAGE, text)


def create_request(channel: Channel, class_number: int, open_request: ChannelOpenRequest) -> ActiveRequest:
    """The request as the broker takes it; its answer is due a little before the client stops waiting."""
    session = channel.session
    wait_ns = open_request.wait_ms * MS or session.broker.settings.classes[class_number].deadline_ns
    return ActiveRequest(
        client=channel,
        klass=class_number,
        tenant=session.frontend.names.tenants.get(open_request.tenant, UNKNOWN_NUMBER),
        key=open_request.key,
        group=open_request.group,
        flags=open_request.routing_flags,
        load_hint=0,
        deadline=session.loop.ready_since + wait_ns - ANSWER_MARGIN_NS,
        encode_request_line=open_request.request_line_encoder(),
    )
