"""Handlers for the messages of SSH's connection protocol that a session receives."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from linnetshift.frontends.channels.channel import Channel
from linnetshift.frontends.channels.channel_open import handle_channel_open
from linnetshift.frontends.channels.messages import (
    MessageNumber,
    encode_channel_failure,
    encode_request_failure,
    encode_unimplemented,
)
from linnetshift.frontends.channels.packets import PayloadReader, ProtocolError
from linnetshift.observability.log import Reason

if TYPE_CHECKING:
    from linnetshift.frontends.channels.session import Session

MessageHandler = Callable[["Session", PayloadReader], None]

SEQUENCE_NUMBER_MASK = 0xFFFFFFFF  # RFC 4253, section 6.4: wraps after 2^32 packets


def handle_message(session: Session, payload: PayloadReader) -> None:
    """Handle one payload; raises ProtocolError if it violates the protocol."""
    handler = HANDLERS.get(payload.byte())
    if handler is None:
        sequence_number = (session.packets_received - 1) & SEQUENCE_NUMBER_MASK
        session.write(encode_unimplemented(sequence_number))
        return
    handler(session, payload)


def find_channel(session: Session, payload: PayloadReader) -> Channel:
    """Return the channel in the recipient channel field; raises ProtocolError if there is none."""
    channel = session.channels.get(payload.uint32())
    if channel is None or not (channel.is_confirmed or channel.is_close_sent):
        raise ProtocolError("no such channel")
    return channel


def _handle_channel_data(session: Session, payload: PayloadReader) -> None:
    find_channel(session, payload).receive_data(payload.string())


def _handle_window_adjust(session: Session, payload: PayloadReader) -> None:
    find_channel(session, payload).add_window(payload.uint32())


def _handle_channel_close(session: Session, payload: PayloadReader) -> None:
    find_channel(session, payload).handle_close()


def _handle_channel_eof(session: Session, payload: PayloadReader) -> None:
    # Not passed on: an endpoint treats a FIN as the end of the connection in both directions.
    find_channel(session, payload)


def _handle_extended_data(session: Session, payload: PayloadReader) -> None:
    """Count and discard the data: the connection to the endpoint has no second stream."""
    channel = find_channel(session, payload)
    payload.uint32()  # the data type code
    channel.discard_data(len(payload.string()))


def _handle_channel_request(session: Session, payload: PayloadReader) -> None:
    channel = find_channel(session, payload)
    payload.string()  # the request type; none is supported
    if payload.boolean() and not channel.is_close_sent:
        session.write(encode_channel_failure(channel.recipient_channel))


def _handle_global_request(session: Session, payload: PayloadReader) -> None:
    payload.string()  # the request name; none is supported
    if payload.boolean():
        session.write(encode_request_failure())


def _handle_disconnect(session: Session, _payload: PayloadReader) -> None:
    session.end_reason = Reason.CLIENT_LEFT


def _ignore(_session: Session, _payload: PayloadReader) -> None:
    """Do nothing; where it answers a keep-alive, the read itself has reset the unanswered count."""


def _handle_unexpected_open_answer(_session: Session, _payload: PayloadReader) -> None:
    # This side opens no channels.
    raise ProtocolError("an answer to a channel that was never asked for")


HANDLERS: dict[int, MessageHandler] = {
    MessageNumber.DISCONNECT: _handle_disconnect,
    MessageNumber.IGNORE: _ignore,
    MessageNumber.UNIMPLEMENTED: _ignore,
    MessageNumber.DEBUG: _ignore,
    MessageNumber.GLOBAL_REQUEST: _handle_global_request,
    MessageNumber.REQUEST_SUCCESS: _ignore,
    MessageNumber.REQUEST_FAILURE: _ignore,
    MessageNumber.CHANNEL_OPEN: handle_channel_open,
    MessageNumber.CHANNEL_OPEN_CONFIRMATION: _handle_unexpected_open_answer,
    MessageNumber.CHANNEL_OPEN_FAILURE: _handle_unexpected_open_answer,
    MessageNumber.CHANNEL_WINDOW_ADJUST: _handle_window_adjust,
    MessageNumber.CHANNEL_DATA: _handle_channel_data,
    MessageNumber.CHANNEL_EXTENDED_DATA: _handle_extended_data,
    MessageNumber.CHANNEL_EOF: _handle_channel_eof,
    MessageNumber.CHANNEL_CLOSE: _handle_channel_close,
    MessageNumber.CHANNEL_REQUEST: _handle_channel_request,
    MessageNumber.CHANNEL_SUCCESS: _ignore,
    MessageNumber.CHANNEL_FAILURE: _ignore,
}
