"""Requests of the line protocol that are brought into a state: queued, connecting or sent."""

from __future__ import annotations

from connections import PeerConnection
from emulated_peers import EmulatedEndpoint
from running_proxy import RunningProxy

LONG_DEADLINE_MS = 9000
"""Deadline below twice the latency objective, so that one attempt may use all of it."""

KEY = 0x7F3A9C21E0B4D655
"""Key of all requests here, and of those of the harness."""

REQUEST_LINE = b"OPEN 77 7f3a9c21e0b4d655 c=feed,t=acme,d=%d\r\n"
"""Request line, for a deadline in milliseconds."""


def connecting_request(
    running: RunningProxy, best: EmulatedEndpoint, wait_ms: int = LONG_DEADLINE_MS
) -> PeerConnection:
    """A request whose connection to the endpoint stays pending: the client's end."""
    best.fill_accept_queue()
    client = running.client(REQUEST_LINE % wait_ms)
    best.wait_until_connecting()
    return client


def queued_request(
    running: RunningProxy, best: EmulatedEndpoint, wait_ms: int = LONG_DEADLINE_MS
) -> tuple[PeerConnection, list[tuple[PeerConnection, PeerConnection]]]:
    """A request queued behind as many attempts as are allowed: its client, and the ends of those attempts."""
    in_flight = []
    for number in range(9):  # eight, and one more, allowed after the fast first set-up
        client = running.client(REQUEST_LINE.replace(b"77", b"%d" % number) % LONG_DEADLINE_MS)
        in_flight.append((client, best.accept()))
        assert in_flight[-1][1].line().startswith(b"OPEN %d " % number)
    client = running.client(REQUEST_LINE % wait_ms)
    assert running.alive()  # its line was read before this PING
    return client, in_flight


def request_in_state(
    running: RunningProxy, best: EmulatedEndpoint, state: str
) -> tuple[PeerConnection, PeerConnection | None, list[tuple[PeerConnection, PeerConnection]]]:
    """A queued, connecting or sent request: its client, its endpoint's end, and the attempts before it."""
    if state == "sent":
        return *sent_request(running, best), []
    if state == "queued":
        client, in_flight = queued_request(running, best)
        return client, None, in_flight
    return connecting_request(running, best), None, []


def answer_all(in_flight: list[tuple[PeerConnection, PeerConnection]]) -> None:
    """Let the endpoint answer all these attempts."""
    for _, endpoint in in_flight:
        endpoint.send(b"UP r1\r\n")


def sent_request(
    running: RunningProxy, best: EmulatedEndpoint, wait_ms: int = LONG_DEADLINE_MS
) -> tuple[PeerConnection, PeerConnection]:
    """A request that the endpoint has received: the client's and the endpoint's end."""
    client = running.client(REQUEST_LINE % wait_ms)
    endpoint = best.accept()
    assert endpoint.line().startswith(b"OPEN 77 ")
    return client, endpoint
