"""CHANNEL_OPEN: parsing and checking it, and creating its channel and request."""

from __future__ import annotations

import re
import secrets
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from linnetshift.broker.active_request import ActiveRequest
from linnetshift.endpoint_list.names import UNKNOWN_NUMBER
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
MAX_TENANT_CHARS = MAX_LOGGED_CHARS  # as much of a peer's text as is logged
MAX_CHANNELS_PER_SESSION = 256
# Retry delay for clients when all sessions together have too many channels.
OVERLOADED_RETRY_AFTER_MS = 1000
# Control characters, space and the separators of a request line's fields, one of which is the tenant.
INVALID_TENANT_CHARACTERS = re.compile(r"[\x00-\x20,=\x7f]")


class ChannelOpenError(ValueError):
    """A CHANNEL_OPEN that is refused; reason and text are sent in CHANNEL_OPEN_FAILURE."""

    def __init__(self, reason: OpenFailureReason, text: str) -> None:
        """`text` is human-readable; clients act on `reason`."""
        super().__init__(text)
        self.reason = reason


class ChannelOpenRequest(NamedTuple):
    """The fields of CHANNEL_OPEN that are specific to the channel type."""

    class_name: str
    tenant: str
    key: int
    group: int  # 0 for none
    wait_ms: int  # how long the client waits for an answer; 0: the class's deadline
    flags: int

    @classmethod
    def read(cls, payload: PayloadReader) -> ChannelOpenRequest:
        """Read the fields in the order on the wire; older clients send no flags."""
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
        """Whether the tenant's name is allowed in a request line."""
        return len(self.tenant) <= MAX_TENANT_CHARS and INVALID_TENANT_CHARACTERS.search(self.tenant) is None

    @property
    def routing_flags(self) -> int:
        """The flags as bits of `routing.events`."""
        retry = RETRY if self.flags & RETRY_FLAG else 0
        returned = RETURNED if self.flags & RETURNED_FLAG else 0
        return retry | returned

    def request_line_encoder(self) -> Callable[[int], bytes]:
        """Return a function that encodes the endpoint's request line for a deadline in milliseconds."""
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
    """Submit the request to the broker, or answer with CHANNEL_OPEN_FAILURE."""
    session.charge_open()
    channel_type = payload.text()
    sender_channel = payload.uint32()
    initial_window = payload.uint32()
    max_packet_bytes = payload.uint32()
    try:
        if channel_type != CHANNEL_TYPE:
            raise ChannelOpenError(OpenFailureReason.UNKNOWN_CHANNEL_TYPE, f"only {CHANNEL_TYPE} is known")
        open_request = ChannelOpenRequest.read(payload)
        check_not_draining(session)
        class_number = find_class(session, open_request)
        check_capacity(session)
    except ChannelOpenError as error:
        session.refuse_open(encode_open_failure(sender_channel, error.reason, str(error)))
        return
    channel = Channel(
        session, next(session.channel_numbers), sender_channel, initial_window, max_packet_bytes
    )
    channel.request = create_request(channel, class_number, open_request)
    session.add_channel(channel)
    session.broker.submit(channel.request)


def find_class(session: Session, open_request: ChannelOpenRequest) -> int:
    """Return the number of the request's class; raises ChannelOpenError for an invalid field."""
    class_number = session.frontend.names.classes.get(open_request.class_name)
    if class_number is None or not open_request.has_valid_tenant or open_request.wait_ms > MAX_WAIT_MS:
        raise ChannelOpenError(
            OpenFailureReason.CONNECT_FAILED, "unknown class, impossible tenant or deadline"
        )
    return class_number


def check_not_draining(session: Session) -> None:
    """Raise ChannelOpenError if the session opens no more channels, whatever the request."""
    if session.is_refusing:
        raise ChannelOpenError(OpenFailureReason.RESOURCE_SHORTAGE, retry_after_text(0))


def check_capacity(session: Session) -> None:
    """Raise ChannelOpenError if the session or the frontend is full."""
    if len(session.channels) >= MAX_CHANNELS_PER_SESSION:
        raise ChannelOpenError(OpenFailureReason.RESOURCE_SHORTAGE, retry_after_text(0))
    if session.frontend.is_full:
        # Channels cost a client nothing: without a limit, waiting ones would exhaust memory.
        text = retry_after_text(OVERLOADED_RETRY_AFTER_MS)
        raise ChannelOpenError(OpenFailureReason.RESOURCE_SHORTAGE, text)


def create_request(channel: Channel, class_number: int, open_request: ChannelOpenRequest) -> ActiveRequest:
    """Return the request for the broker; its answer is due shortly before the client's deadline."""
    session = channel.session
    wait_ns = open_request.wait_ms * MS or session.broker.settings.classes[class_number].deadline_ns
    return ActiveRequest(
        client=channel,
        class_number=class_number,
        tenant=session.frontend.names.tenants.get(open_request.tenant, UNKNOWN_NUMBER),
        key=open_request.key,
        group=open_request.group,
        flags=open_request.routing_flags,
        load_hint=0,
        deadline=session.received_at + wait_ns - ANSWER_MARGIN_NS,
        encode_request_line=open_request.request_line_encoder(),
    )
