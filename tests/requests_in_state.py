"""Requests of the line protocol in a given state: queued, connecting or sent."""

from __future__ import annotations

from connections import PeerConnection
from emulated_peers import EmulatedEndpoint
from running_proxy import RunningProxy

LONG_DEADLINE_MS = 9000
"""Below twice the latency objective, so that one attempt may use the whole deadline."""

KEY = 0x7F3A9C21E0B4D655
"""Key of all requests of this module and of `running_proxy.OPEN_LINE`."""

REQUEST_LINE = b"OPEN 77 7f3a9c21e0b4d655 c=feed,t=acme,d=%d\r\n"
"""Request line; takes the deadline in milliseconds."""


def connecting_request(
    running: RunningProxy, best: EmulatedEndpoint, wait_ms: int = LONG_DEADLINE_MS
) -> PeerConnection:
    """Start a request whose connection to the endpoint stays pending; returns the client's end."""
    best.fill_accept_queue()
    client = running.client(REQUEST_LINE % wait_ms)
    best.wait_until_connecting()
    return client


def queued_request(
    running: RunningProxy, best: EmulatedEndpoint, wait_ms: int = LONG_DEADLINE_MS
) -> tuple[PeerConnection, list[tuple[PeerConnection, PeerConnection]]]:
    """Queue a request behind as many attempts as are allowed; returns its client and the attempts' ends."""
    in_flight = []
    for number in range(9):  # the initial limit of eight, and one more after the fast first set-up
        client = running.client(REQUEST_LINE.replace(b"77", b"%d" % number) % LONG_DEADLINE_MS)
        in_flight.append((client, best.accept()))
        assert in_flight[-1][1].line().startswith(b"OPEN %d " % number)
    client = running.client(REQUEST_LINE % wait_ms)
    assert running.alive()  # the request line is read before this PING
    return client, in_flight


def request_in_state(
    running: RunningProxy, best: EmulatedEndpoint, state: str
) -> tuple[PeerConnection, PeerConnection | None, list[tuple[PeerConnection, PeerConnection]]]:
    """Bring a request into this state; returns its client, its endpoint's end and the attempts before it."""
    if state == "sent":
        return *sent_request(running, best), []
    if state == "queued":
        client, in_flight = queued_request(running, best)
        return client, None, in_flight
    return connecting_request(running, best), None, []


def answer_all(in_flight: list[tuple[PeerConnection, PeerConnection]]) -> None:
    """Answer all these attempts with UP."""
    for _, endpoint in in_flight:
        endpoint.send(b"UP r1\r\n")


def sent_request(
    running: RunningProxy, best: EmulatedEndpoint, wait_ms: int = LONG_DEADLINE_MS
) -> tuple[PeerConnection, PeerConnection]:
    """Send a request that the endpoint has received; returns the ends of client and endpoint."""
    client = running.client(REQUEST_LINE % wait_ms)
    endpoint = best.accept()
    assert endpoint.line().startswith(b"OPEN 77 ")
    return client, endpoint
