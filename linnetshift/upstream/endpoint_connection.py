"""Endpoints: one connection for each attempt, and health checks."""

from __future__ import annotations

import select

from linnetshift.broker.active_request import Attempt
from linnetshift.broker.broker import Broker
from linnetshift.event_loop.address import Address
from linnetshift.event_loop.loop import MS, ActorCoroutine, Io, Loop, Timeout
from linnetshift.event_loop.outbound_connection import OutboundConnection, Resume, Steps, Stop, linger
from linnetshift.event_loop.stream import End, LineTooLongError, Stream
from linnetshift.observability import log
from linnetshift.observability.log import Reason
from linnetshift.routing.events import Outcome


class Hangup:
    """The client's side has ended."""

    def __init__(self, reset: bool) -> None:
        self.reset = reset


class EndpointConnection(OutboundConnection):
    """One attempt's connection: the opening line, the answer to it, then messages both ways."""

    def __init__(self, loop: Loop, broker: Broker, attempt: Attempt, address: Address) -> None:
        super().__init__(loop)
        self.broker, self.attempt, self.address = broker, attempt, address
        self.asked_at = 0  # when a message went out that has no reply yet
        self.heard_at = loop.now()
        self.last = Outcome.RESET  # what the end of the connection means, by the last line
        self.hung_up = False
        self.reason = Reason.ABANDONED

    # ---- the broker's and the client's side -----------------------------------------------

    @property
    def is_congested(self) -> bool:
        return self.stream is not None and self.stream.is_congested

    def deliver(self, message: memoryview) -> None:
        if self.stream is not None and not self.hung_up:
            self.stream.send(message)
            if not self.asked_at:
                self.asked_at = self.loop.now()

    def resume(self) -> None:
        self.post(Resume())

    def oldest_unanswered_ns(self) -> int:
        return self.loop.now() - self.asked_at if self.asked_at else 0

    def idle_ns(self) -> int:
        if self.stream is None or not self.stream.reading:
            return 0  # its client does not take what it may have said
        return self.loop.now() - self.heard_at

    def handle_client_ended(self, reset: bool) -> None:
        self.hung_up = True
        self.post(Hangup(reset))

    def abandon(self) -> None:
        """Closed here and now: the next attempt's first byte must not meet this one still out."""
        self.hung_up = True
        if self.stream is not None:
            self.stream.close()
        self.post(Stop())

    # ---- the script -------------------------------------------------------------------------

    def run(self) -> ActorCoroutine:
        self.attempt.link = self
        outcome = yield from self.open()
        reset = False
        if outcome is None:
            reset = yield from self.relay()
            outcome = self.last
        if self.stream is not None:
            if self.stream.closed:
                self.reason = Reason.ABANDONED
            self.stream.close(End.RESET if reset and self.hung_up else End.FIN)
        self.report(outcome, reset)

    def gave_up(self) -> None:
        self.reason = Reason.FAULT
        self.report(Outcome.RESET, True)

    def report(self, outcome: Outcome, reset: bool) -> None:
        log.connection_ended(
            "endpoint",
            self.reason,
            id=self.attempt.request.id,
            attempt=self.attempt.number,
            endpoint=self.attempt.endpoint.decode("utf-8", "replace"),
            ms=(self.loop.now() - self.attempt.began) // MS,
        )
        if not self.hung_up:
            self.hung_up = True
            self.broker.handle_attempt_ended(self.attempt, outcome, reset)

    def open(self) -> Steps:
        """The outcome, or None once the connection stands."""
        limit = min(self.broker.settings.connect_timeout_ns, self.attempt.deadline - self.loop.now())
        up = yield from self.connect(self.address, limit)
        if not up:
            self.reason = Reason.ABANDONED if self.hung_up else Reason.UNREACHABLE
            return Outcome.CONNECT_FAILED
        stream = self.stream
        assert stream is not None
        if not self.broker.may_send(self.attempt):
            self.reason = Reason.ABANDONED  # not a byte may reach it; the module places it anew, if it may
            return Outcome.MOOT
        if not stream.is_present:
            self.reason = Reason.ENDPOINT_LEFT  # closed as soon as it was accepted: nothing can run there
            return Outcome.CONNECT_FAILED
        self.attempt.is_sent = True
        left = self.attempt.deadline - self.loop.now()
        stream.send(self.attempt.request.encode_request_line(max(1, left // MS)))
        timer = self.set_timer(left, "answer")
        outcome = yield from self.first_answer(stream)
        timer.cancel()
        return outcome

    def first_answer(self, stream: Stream) -> Steps:
        while True:
            match (yield):
                case Io(mask):
                    if mask & select.EPOLLOUT:
                        stream.flush()
                    unsent = stream.is_congested or stream.broken
                    if mask & ~select.EPOLLOUT:
                        end = stream.fill()
                        outcome = self.judge(stream)
                        if outcome is not NOT_YET:
                            return outcome
                        if end is not None:
                            self.reason = Reason.ENDPOINT_RESET if end is End.RESET else Reason.ENDPOINT_LEFT
                            return Outcome.CONNECT_FAILED if unsent else Outcome.RESET
                case Timeout(tag="answer"):
                    self.reason = Reason.TIMED_OUT
                    return Outcome.TIMEOUT
                case Stop():
                    return Outcome.CANCELLED

    def judge(self, stream: Stream) -> Outcome | None:
        """What the first line means; None where it stands, NOT_YET before it is whole."""
        try:
            line = stream.line()
        except LineTooLongError:
            self.reason = Reason.BAD_LINE
            return Outcome.ERROR
        if line is None:
            return NOT_YET
        word, _, receipt = bytes(line).rstrip(b"\r\n").partition(b" ")
        if word == b"UP" and receipt and receipt.isascii() and receipt.decode().isprintable():
            self.broker.handle_established(self.attempt, line)
            return None
        self.reason, outcome = ANSWERS.get(word, (Reason.ERROR, Outcome.ERROR))
        return outcome

    def relay(self) -> Steps:
        """Messages both ways until one side ends; whether it ended with a reset."""
        stream = self.stream
        assert stream is not None
        client = self.attempt.request.client
        end = self.pass_on(stream)
        while end is None:
            match (yield):
                case Io(mask):
                    if mask & select.EPOLLOUT:
                        stream.flush()
                        if not stream.is_congested:
                            client.resume()
                    if mask & ~select.EPOLLOUT:
                        end = stream.fill()
                        end = self.pass_on(stream) or end
                    if stream.broken and end is None:
                        end = End.RESET
                case Resume():
                    end = self.pass_on(stream)
                case Hangup(reset=True):
                    self.reason = Reason.CLIENT_RESET
                    return True
                case Hangup():
                    self.reason = Reason.CLIENT_LEFT
                    stream.finish()
                    yield from linger(self, stream)
                    return False
                case Stop():
                    return False
        if end is End.FIN and (rest := stream.rest()):
            client.deliver(rest)
        if self.last is Outcome.OK:
            self.reason = Reason.SERVED
        elif self.last is Outcome.CANCELLED:
            self.reason = Reason.ENDPOINT_MIGRATED
        else:
            self.reason = Reason.ENDPOINT_RESET if end is End.RESET else Reason.ENDPOINT_LEFT
        return end is End.RESET

    def pass_on(self, stream: Stream) -> End | None:
        """Hand whole lines to the client while it takes them; stop reading when it does not."""
        client = self.attempt.request.client
        if self.hung_up:
            stream.rest()
            return None
        try:
            while not client.is_congested and (line := stream.line()) is not None:
                self.heed(line)
                client.deliver(line)
        except LineTooLongError:
            return End.RESET
        stream.want(not client.is_congested)
        return None

    def heed(self, line: memoryview) -> None:
        """What a line tells the proxy; it is passed on all the same."""
        self.heard_at = self.loop.now()
        text = bytes(line[:64]).strip()
        if text.startswith(b"LOAD "):
            try:
                self.broker.record_load_report(self.attempt, float(text[5:]))
            except ValueError:
                log.note("load-report-invalid", endpoint=self.attempt.endpoint.decode("utf-8", "replace"))
            return
        self.last = {b"BYE": Outcome.OK, b"MOVE": Outcome.CANCELLED}.get(text, Outcome.RESET)
        if self.asked_at:
            self.broker.record_response_time(self.attempt, self.loop.now() - self.asked_at)
            self.asked_at = 0


NOT_YET = Outcome.MOOT
ANSWERS = {
    b"ERR": (Reason.ERROR, Outcome.ERROR),
    b"BUSY": (Reason.ENDPOINT_FULL, Outcome.FULL),
    b"MOVE": (Reason.ENDPOINT_MIGRATED, Outcome.CANCELLED),
}
