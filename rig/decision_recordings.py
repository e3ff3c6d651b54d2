"""Record the decisions of the `sim` command in small simulated fleets, for the replay test to compare with.

    python -m rig.decision_recordings [SCENARIO ...]        run from the root of the repository

Each scenario is a closed loop: the recorder sends batches of events to the command, reads its replies and
lets endpoints, clients, discovery and peers answer them. The frames sent and received are written to
`tests/data/decisions/NAME.in.xz` and `NAME.out.xz`. A scenario is seeded and the command is deterministic,
so the same code gives the same files.

The codec below follows the description of the simulator's wire. Nothing of the program is imported, so that
the recordings do not depend on its names.
"""

from __future__ import annotations

import heapq
import json
import lzma
import math
import random
import shlex
import struct
import subprocess
import sys
import tomllib
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
DATA = ROOT / "tests" / "data" / "decisions"
DEPLOY_PYTHON = ".venv/bin/python"

MILLISECOND = 1_000_000
SECOND = 1_000_000_000
START_NS = 1_000 * SECOND  # clock at the first batch
STEP_NS = 5 * MILLISECOND
CONNECT_TIMEOUT_NS = 120 * MILLISECOND
MAX_RETRY_AFTER_NS = 1_500 * MILLISECOND
SETUP_NS = 20 * MILLISECOND
ALL_PEERS = 0xFFFF

# Codes of the wire: list forms, endpoint states, outcomes, request flags, kinds of note.
DELTA, FULL_LIST, CACHED, FAILED = range(4)
READY, GONE, DRAINING = range(3)
ERROR, OK, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, MOOT = range(8)
HINTED, RETRY, MID_FLOW, RETURNED = 1, 2, 8, 16
LOAD_NOTE, SLOW_NOTE = 1, 2

# An endpoint's fault is the outcome of each attempt there, or one of these: a slow one serves, but late, and
# messages at a busy one take less than their aim and more than a third of it.
SLOW = -1
BEGUN = -2
BUSY = -3

_FRAME = struct.Struct(">IIQ")
_ENTRY = struct.Struct(">6sHHHBfQ")


# ---- codec -------------------------------------------------------------------------------------


def frame(clock_ns: int, records: Sequence[bytes]) -> bytes:
    """One batch of encoded records."""
    body = b"".join(records)
    return _FRAME.pack(_FRAME.size + len(body), len(records), clock_ns) + body


def frames(stream: bytes) -> Iterator[bytes]:
    """Split recorded bytes into frames; each starts with its own length."""
    offset = 0
    while offset < len(stream):
        size = max(4, int.from_bytes(stream[offset : offset + 4], "big"))
        yield stream[offset : offset + size]
        offset += size


def on(instance: int) -> bytes:
    return struct.pack(">BI", 12, instance)


def create(salt: int, settings: dict[str, Any]) -> bytes:
    text = json.dumps(settings, sort_keys=True).encode()
    return struct.pack(">BQI", 0, salt, len(text)) + text


def halt() -> bytes:
    return b"\x09"


def membership(form: int, version: int, entries: Sequence[bytes] = ()) -> bytes:
    return struct.pack(">BBQI", 1, form, version, len(entries)) + b"".join(entries)


def inbound(request: Request) -> bytes:
    return struct.pack(
        ">BIQQBQHIQ",
        2,
        request.id,
        request.group,
        request.hint_ns,
        request.service,
        request.key,
        request.flags,
        request.tenant,
        request.budget_ns,
    )


def already_open(request: Request, address: bytes) -> bytes:
    return struct.pack(
        ">BIQQQHQ6sIB",
        10,
        request.id,
        request.budget_ns,
        request.hint_ns,
        request.key,
        request.flags,
        request.group,
        address,
        request.tenant,
        request.service,
    )


def begun(request_id: int, elapsed_ns: int, attempt: int, address: bytes) -> bytes:
    return struct.pack(">BIQB6s", 3, request_id, elapsed_ns, attempt, address)


def result(
    request_id: int,
    address: bytes,
    closed: bool,
    attempt: int,
    elapsed_ns: int,
    outcome: int,
    report: Sequence[float] = (),
) -> bytes:
    head = struct.pack(
        ">BI6sBBQHB", 4, request_id, address, closed, attempt, elapsed_ns, outcome, len(report)
    )
    return head + struct.pack(f">{len(report)}f", *report)


def withdrawn(request_id: int) -> bytes:
    return struct.pack(">BI", 5, request_id)


def alarm(token: int) -> bytes:
    return struct.pack(">BI", 6, token)


def sampled(outcome: int, elapsed_ns: int, address: bytes, report: Sequence[float] = ()) -> bytes:
    head = struct.pack(">BHQ6sB", 7, outcome, elapsed_ns, address, len(report))
    return head + struct.pack(f">{len(report)}f", *report)


def mail(sender: int, data: bytes) -> bytes:
    return struct.pack(">BHH", 8, sender, len(data)) + data


def change(request_id: int, attempt: int, address: bytes, kind: int, value: float) -> bytes:
    return struct.pack(">BIB6sBf", 11, request_id, attempt, address, kind, value)


ACTIONS = {
    0: ("submit", struct.Struct(">Iq6s")),
    1: ("deny", struct.Struct(">IQ")),
    2: ("give_up", struct.Struct(">I")),
    3: ("retract", struct.Struct(">IB")),
    4: ("notify_me", struct.Struct(">QI")),
    5: ("probe", struct.Struct(">6s")),
    10: ("listen", struct.Struct(">B")),
    11: ("reload", struct.Struct(">")),
    12: ("reassign", struct.Struct(">I")),
}
"""Actions of fixed length, by code: the method that carries one out, and its fields."""
AS, NOTIFY, FAULT, RECORD = 13, 7, 9, 8


def actions(reply: bytes) -> Iterator[tuple[int, str, tuple[Any, ...]]]:
    """The instance, name and fields of each action of a reply."""
    at, instance = 4, -1
    while at < len(reply):
        code = reply[at]
        at += 1
        if code == AS:
            instance = int.from_bytes(reply[at : at + 4], "big")
            at += 4
        elif code == NOTIFY:
            peer, size = struct.unpack_from(">HH", reply, at)
            yield instance, "notify", (peer, reply[at + 4 : at + 4 + size])
            at += 4 + size
        elif code in (FAULT, RECORD):
            size = int.from_bytes(reply[at : at + 2], "big")
            raise RuntimeError(f"instance {instance} says: {reply[at + 2 : at + 2 + size].decode()}")
        else:
            name, fields = ACTIONS[code]
            yield instance, name, fields.unpack_from(reply, at)
            at += fields.size


# ---- scenarios ---------------------------------------------------------------------------------


def service(name: str, effect: str = "repeatable", group: str = "all", **more: Any) -> dict[str, Any]:
    """One entry of the settings' `services`."""
    return {
        "name": name,
        "effect": effect,
        "group": group,
        "aimNs": 500 * MILLISECOND,
        "hardLimitNs": 3 * SECOND,
        "lateWorth": 0.0,
        "streamed": True,
        "windowNs": 2 * SECOND,
        "worth": 1.0,
        **more,
    }


@dataclass(frozen=True)
class Scenario:
    """What one recording plays; `timeline` holds (second, method of `Fleet`, arguments)."""

    name: str
    seed: int
    timeline: tuple[tuple[Any, ...], ...] = ()
    duration_s: float = 30.0
    instances: int = 4
    balancers: int = 4
    endpoints: int = 12
    zones: int = 2
    cell_size: int = 3
    cold: int = 0  # endpoints that have just started
    capacity: float = 16.0  # connections that fill an endpoint of weight 1
    arrivals_per_s: float = 25.0
    lifetime_s: float = 8.0
    groups: int = 40  # 0: requests have no group
    adopted: int = 0  # connections that each instance already has at its start
    withdrawn_share: float = 0.03
    peer_loss: float = 0.05
    odd_per_s: float = 0.0  # events that fit nothing
    listen_failures: float = 0.0
    services: tuple[dict[str, Any], ...] = (service("stream"),)
    settings: dict[str, Any] = field(default_factory=dict)
    allowed: dict[str, Any] = field(default_factory=dict)
    family: dict[str, Any] = field(default_factory=dict)
    columns: tuple[str, ...] = ("outstanding", "x0")

    def settings_of(self, number: int) -> dict[str, Any]:
        """The settings of one instance, as the simulator would write them."""
        made: dict[str, Any] = {
            "allowed": {
                "connectTimeoutNs": CONNECT_TIMEOUT_NS,
                "maxAttempts": 4,
                "maxRetryAfterNs": MAX_RETRY_AFTER_NS,
                "mayCancel": True,
                "parallelTries": False,
                "peerMessages": True,
                "probing": True,
                "retryAfter": True,
                **self.allowed,
            },
            "balancers": self.balancers,
            "discovery": "push",
            "family": "conn",
            "familyInfo": {
                "groups": bool(self.groups),
                "messageAimNs": [100 * MILLISECOND] * len(self.services),
                "mode": "proxy",
                "tellsDelay": True,
                "tellsLoad": True,
                "tenantQuotaConnections": [],
                **self.family,
            },
            "fees": {"crossZone": 0.05},
            "myNumber": number,
            "overShareWorth": 0.2,
            "report": {"columns": list(self.columns), "how": "piggyback" if self.columns else "silent"},
            "rules": {
                "answerSlackNs": 20 * MILLISECOND,
                "coldFrom": 0.2,
                "drainGraceNs": SECOND,
                "fallMultiple": 3.0,
                "mustAskInNs": 10 * SECOND,
                "tipAfterNs": 3 * SECOND,
                "warmUpNs": 8 * SECOND,
            },
            "services": list(self.services),
            "stepNs": STEP_NS,
            "tenants": [],
            "weightSource": "nominal",
            "zone": number % self.zones,
            "zones": [f"zone-{zone}" for zone in range(self.zones)],
        }
        return made | self.settings


# ---- the simulated fleet -----------------------------------------------------------------------


@dataclass(eq=False)
class Endpoint:
    """One endpoint as it really is; `listed` is the version of the list that last changed its entry."""

    address: bytes
    zone: int
    kind: int
    cell: int
    weight: float
    started_ns: int = 0
    state: int = READY
    listed: int = 1
    fault: int | None = None
    open: int = 0

    def entry(self) -> bytes:
        return _ENTRY.pack(
            self.address, self.zone, self.kind, self.cell, self.state, self.weight, self.started_ns
        )


@dataclass(eq=False)
class Request:
    """A request, or the connection that came of it."""

    id: int
    instance: int
    service: int
    group: int
    key: int
    hint_ns: int
    flags: int
    budget_ns: int
    deadline_ns: int = 0
    tenant: int = 0
    attempt: int = -1
    endpoint: Endpoint | None = None  # where the latest attempt went, while it is out
    sent_ns: int = 0
    standing: bool = False
    answered: bool = False


@dataclass(eq=False)
class Instance:
    """One instance of the program, as discovery and the simulator see it."""

    number: int
    life: int = 0  # counts its starts
    live: bool = False
    subscribed: bool = False
    version: int = 0  # of the list that it was last sent


class Fleet:
    """A closed loop around one adapter: what it decides leads to what it is told next."""

    def __init__(self, scenario: Scenario, exchange: Callable[[bytes], bytes]) -> None:
        self.scenario, self.exchange = scenario, exchange
        self.random = random.Random(scenario.seed)
        self.now = START_NS
        self.order, self.ids, self.addresses = count(), count(1), count(1)
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.batch: dict[int, list[bytes]] = {}
        self.version = 1
        self.discovery_up = True
        self.arrivals_per_s = scenario.arrivals_per_s
        self.asks = scenario.settings.get("discovery") == "ask"
        self.endpoints = [self.new_endpoint() for _ in range(scenario.endpoints)]
        for endpoint in self.endpoints[: scenario.cold]:
            endpoint.started_ns = START_NS - SECOND
        self.instances = [Instance(number) for number in range(scenario.instances)]
        self.requests: dict[int, Request] = {}
        self.keys = [self.random.getrandbits(64) for _ in range(60)]
        self.groups = [self.random.getrandbits(64) for _ in range(scenario.groups)]

    # ---- clock and batches ------------------------------------------------------------------

    def after(self, delay_ns: float, act: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (self.now + max(1, int(delay_ns)), next(self.order), act))

    def tell(self, instance: int, record: bytes) -> None:
        """Put an event into the batch that is being made."""
        if self.instances[instance].live:
            self.batch.setdefault(instance, []).append(record)

    def play(self) -> None:
        """Run the scenario to its end."""
        for instance in self.instances:
            self.after(0, partial(self.start, instance.number))
        for second, name, *arguments in self.scenario.timeline:
            self.after(second * SECOND, partial(getattr(self, name), *arguments))
        self.after(self.pause(self.arrivals_per_s), self.arrive)
        self.after(SECOND, self.send_notes)
        if self.scenario.odd_per_s:
            self.after(self.pause(self.scenario.odd_per_s), self.send_odd)
        self.exchange(frame(self.now, []))
        end = self.now + int(self.scenario.duration_s * SECOND)
        while self.queue and self.queue[0][0] < end:
            self.now = max(self.now, -(-self.queue[0][0] // STEP_NS) * STEP_NS)
            while self.queue and self.queue[0][0] <= self.now:
                heapq.heappop(self.queue)[2]()
            self.send_batch()

    def send_batch(self) -> None:
        batch, self.batch = self.batch, {}
        if not batch:
            return
        records = [record for number, events in sorted(batch.items()) for record in (on(number), *events)]
        for number, name, fields in actions(self.exchange(frame(self.now, records))):
            getattr(self, name)(self.instances[number], *fields)

    def pause(self, rate: float) -> float:
        return self.random.expovariate(rate) * SECOND

    # ---- instances --------------------------------------------------------------------------

    def start(self, number: int) -> None:
        instance = self.instances[number]
        instance.live, instance.subscribed = True, not self.asks
        instance.life += 1
        instance.version = self.version
        self.tell(number, create(self.random.getrandbits(64), self.scenario.settings_of(number)))
        known = [endpoint for endpoint in self.endpoints if endpoint.state != GONE]
        if instance.life > 1:
            known.pop(self.random.randrange(len(known)))  # a cached list may be old
            instance.version = 0
        self.tell(number, membership(CACHED, self.version, [endpoint.entry() for endpoint in known]))
        for _ in range(self.scenario.adopted):
            self.adopt(number, self.new_request(number), self.random.choice(self.endpoints))
        self.after(SECOND, partial(self.send_list, number, instance.life))

    def adopt(self, number: int, request: Request, endpoint: Endpoint) -> None:
        """Tell of a connection that was routed through the instance when it started."""
        request.instance, request.attempt, request.flags = number, 0, request.flags | MID_FLOW
        self.tell(number, already_open(request, endpoint.address))
        self.stand(request, endpoint)

    def stop(self, number: int, restart_after_s: float = -1.0) -> None:
        """Kill an instance: its connections break, or reach the others where packets pass through."""
        instance = self.instances[number]
        self.tell(number, halt())
        if restart_after_s == 0.0:
            self.start(number)
        else:
            instance.live = False
            self.after(SECOND // 2, partial(self.send_late, number, instance.life))
        if restart_after_s > 0.0:
            self.after(restart_after_s * SECOND, partial(self.start, number))
        passing = self.scenario.family.get("mode") == "pass"
        for request in [r for r in self.requests.values() if r.instance == number]:
            endpoint = request.endpoint
            self.end(request)
            if request.answered:
                continue
            if not passing or endpoint is None or not request.standing:
                self.after(self.pause(2.0), partial(self.come_back, request, RETURNED))
            elif restart_after_s == 0.0 and self.random.random() < 0.5:
                self.adopt(number, self.again(request, number, request.flags), endpoint)
            else:
                self.come_back(request, MID_FLOW | RETURNED * self.random.randrange(2))

    def live_instance(self) -> int:
        return self.random.choice([instance.number for instance in self.instances if instance.live])

    def notify(self, instance: Instance, peer: int, data: bytes) -> None:
        """A message of one instance to one other, or to all."""
        for other in self.instances:
            meant = other is not instance and peer in (other.number, ALL_PEERS)
            if meant and self.random.random() >= self.scenario.peer_loss:
                message = mail(instance.number, data)
                self.after(
                    self.random.uniform(1, 30) * MILLISECOND, partial(self.tell, other.number, message)
                )

    def misreport(self, number: int) -> None:
        """Messages that an endpoint is silent, from senders that are not peers."""
        for instance in self.instances:
            for sender in (self.scenario.balancers, self.scenario.balancers + 1, instance.number):
                self.tell(instance.number, mail(sender, b"s" + self.endpoints[number].address))

    def send_late(self, number: int, life: int) -> None:
        """An event for an instance that was killed and has not started again."""
        instance = self.instances[number]
        if not instance.live and instance.life == life:
            self.batch.setdefault(number, []).append(inbound(self.new_request(number)))

    def notify_me(self, instance: Instance, delay_ns: int, token: int) -> None:
        self.after(delay_ns, partial(self.fire, instance.number, instance.life, token))

    def fire(self, number: int, life: int, token: int) -> None:
        if self.instances[number].life == life:
            self.tell(number, alarm(token))

    # ---- discovery --------------------------------------------------------------------------

    def new_endpoint(self) -> Endpoint:
        number = next(self.addresses)
        zone = (number - 1) % self.scenario.zones
        cell = (number - 1) // (self.scenario.zones * self.scenario.cell_size) * self.scenario.zones + zone
        address = struct.pack(">BBHH", 10, zone, number * 257 & 0xFFFF, 7000 + number)
        return Endpoint(address, zone, number % 2, cell, (1.0, 2.0)[number % 2])

    def changed(self, *endpoints: Endpoint) -> None:
        """Publish a new version of the list, which reaches each subscriber after a while."""
        self.version += 1
        for endpoint in endpoints:
            endpoint.listed = self.version
        for instance in self.instances:
            delay = self.random.uniform(0.05, 0.6) * SECOND
            self.after(delay, partial(self.send_list, instance.number, instance.life))

    def send_list(self, number: int, life: int, whole: bool = False) -> None:
        """What changed since the list that the instance has, now and then the whole list."""
        instance = self.instances[number]
        if not instance.subscribed or not self.discovery_up or instance.life != life:
            return
        whole = whole or not instance.version or self.random.random() < 0.2
        entries = [
            endpoint.entry()
            for endpoint in self.endpoints
            if (endpoint.state != GONE if whole else endpoint.listed > instance.version)
        ]
        instance.version = self.version
        self.tell(number, membership(FULL_LIST if whole else DELTA, self.version, entries))

    def listen(self, instance: Instance, _on: int) -> None:
        self.after(20 * MILLISECOND, partial(self.answer_listen, instance.number, instance.life))

    def answer_listen(self, number: int, life: int) -> None:
        instance = self.instances[number]
        if instance.life != life:
            return
        if not self.discovery_up or self.random.random() < self.scenario.listen_failures:
            instance.subscribed = False
            self.tell(number, membership(FAILED, 0))
        else:
            instance.subscribed = True
            self.send_list(number, life)

    def discovery(self, up: bool) -> None:
        """An outage of discovery begins, which breaks subscriptions, or ends."""
        self.discovery_up = up
        for instance in self.instances:
            if up and not self.asks:
                self.send_list(instance.number, instance.life)
            elif not up:
                instance.subscribed = instance.subscribed and not self.asks
                self.tell(instance.number, membership(FAILED, self.version))

    def publish(self) -> None:
        """Send the whole list to everyone."""
        for instance in self.instances:
            self.send_list(instance.number, instance.life, whole=True)

    def send_cached(self, *missing: int) -> None:
        """Everyone falls back to a cached list, in which some endpoints are missing."""
        left_out = [self.endpoints[number] for number in missing]
        entries = [e.entry() for e in self.endpoints if e.state != GONE and e not in left_out]
        for instance in self.instances:
            instance.version = 0
            self.tell(instance.number, membership(CACHED, self.version, entries))

    # ---- endpoints --------------------------------------------------------------------------

    def fault(self, fault: int | None, *numbers: int) -> None:
        """Endpoints begin to fail in one way, or serve again (None)."""
        for number in numbers:
            self.endpoints[number].fault = fault

    def drop(self, *numbers: int) -> None:
        """Endpoints reset what stands there."""
        for number in numbers:
            for request in self.held_by(self.endpoints[number]):
                self.finish_attempt(request, request.attempt, RESET)

    def drain(self, number: int, seconds: float) -> None:
        """An endpoint leaves: it takes nothing new, and stops after a while."""
        endpoint = self.endpoints[number]
        endpoint.state = DRAINING
        self.changed(endpoint)
        self.after(seconds * SECOND, partial(self.drop, number))

    def remove(self, number: int) -> None:
        self.endpoints[number].state = GONE
        self.changed(self.endpoints[number])
        self.after(SECOND, partial(self.drop, number))

    def unlist(self, number: int) -> None:
        """Discovery forgets an endpoint that serves on."""
        self.endpoints[number].state = GONE
        self.changed(self.endpoints[number])

    def flap(self, *numbers: int) -> None:
        """Endpoints that were ready drain, and the other way round."""
        for number in numbers:
            endpoint = self.endpoints[number]
            endpoint.state = READY if endpoint.state == DRAINING else DRAINING
            self.changed(endpoint)

    def restart(self, number: int) -> None:
        """An endpoint comes back as a new process."""
        endpoint = self.endpoints[number]
        self.drop(number)
        endpoint.state, endpoint.fault, endpoint.started_ns = READY, None, self.now
        self.changed(endpoint)

    def recall(self, number: int) -> None:
        """An endpoint that drained serves on, as the same process."""
        self.endpoints[number].state = READY
        self.changed(self.endpoints[number])

    def add(self) -> None:
        endpoint = self.new_endpoint()
        endpoint.started_ns = self.now
        self.endpoints.append(endpoint)
        self.changed(endpoint)

    def reweigh(self, number: int, weight: float) -> None:
        self.endpoints[number].weight = weight
        self.changed(self.endpoints[number])

    def held_by(self, endpoint: Endpoint) -> list[Request]:
        return [r for r in self.requests.values() if r.endpoint is endpoint and r.standing]

    def load(self, endpoint: Endpoint) -> float:
        weight = endpoint.weight if 0.0 < endpoint.weight < 100.0 else 1.0
        return endpoint.open / (self.scenario.capacity * weight) + (1.5 if endpoint.fault == SLOW else 0.0)

    def report(self, endpoint: Endpoint) -> list[float]:
        """The values of the report's columns, with some noise."""
        values = {
            "outstanding": float(endpoint.open),
            "x0": self.load(endpoint) * self.random.uniform(0.9, 1.1),
            "x1": max(0.0, self.load(endpoint) - 1.0),
            "utilization": min(1.0, self.load(endpoint)),
        }
        return [values[column] for column in self.scenario.columns]

    def probe(self, instance: Instance, address: bytes) -> None:
        endpoint = self.endpoint_at(address)
        outcome, delay = self.fate(endpoint)
        if endpoint.state == GONE:
            outcome, delay = CONNECT_FAILED, CONNECT_TIMEOUT_NS
        delay = min(delay, SECOND)
        if outcome == BEGUN:
            outcome, delay = OK, delay / 4
        self.after(delay, partial(self.answer_probe, instance, instance.life, endpoint, outcome, self.now))

    def answer_probe(
        self, instance: Instance, life: int, endpoint: Endpoint, outcome: int, sent_ns: int
    ) -> None:
        if instance.life == life:
            report = self.report(endpoint) if outcome == OK else []
            record = sampled(outcome, self.now - sent_ns, endpoint.address, report)
            self.tell(instance.number, record)

    def endpoint_at(self, address: bytes) -> Endpoint:
        return next(endpoint for endpoint in self.endpoints if endpoint.address == address)

    # ---- clients ----------------------------------------------------------------------------

    def new_request(self, number: int, flags: int = 0) -> Request:
        kind = self.random.randrange(len(self.scenario.services))
        budget = int(self.scenario.services[kind]["hardLimitNs"] * self.random.choice((1.0, 1.0, 0.6, 0.2)))
        hinted = self.random.random() < 0.7
        return Request(
            id=next(self.ids),
            instance=number,
            service=kind,
            group=self.random.choice(self.groups) if self.groups else 0,
            key=self.random.choice((0, self.random.choice(self.keys))),
            hint_ns=self.random.randint(20, 90) * MILLISECOND if hinted else 0,
            flags=flags | HINTED * hinted,
            budget_ns=self.random.choice((budget, budget, 0)),
        )

    def again(self, former: Request, number: int, flags: int) -> Request:
        """The same client's next try."""
        request = self.new_request(number, flags)
        request.service, request.group, request.key = former.service, former.group, former.key
        return request

    def arrive(self) -> None:
        self.after(self.pause(self.arrivals_per_s), self.arrive)
        self.ask(self.new_request(self.live_instance()))

    def set_arrivals(self, per_s: float) -> None:
        self.arrivals_per_s = per_s

    def wave(self, requests: int) -> None:
        """Many clients at one moment."""
        for _ in range(requests):
            self.ask(self.new_request(self.live_instance(), RETURNED * self.random.randrange(2)))

    def come_back(self, former: Request, flags: int) -> None:
        self.ask(self.again(former, self.live_instance(), flags))

    def ask(self, request: Request) -> None:
        limit = request.budget_ns or self.scenario.services[request.service]["hardLimitNs"]
        request.deadline_ns = self.now + limit
        self.requests[request.id] = request
        self.tell(request.instance, inbound(request))
        if self.random.random() < self.scenario.withdrawn_share:
            self.after(self.pause(5.0), partial(self.withdraw, request))

    def withdraw(self, request: Request) -> None:
        """The client leaves; an attempt that is out still gets its result."""
        if request.id in self.requests and not request.answered:
            request.answered = True
            self.tell(request.instance, withdrawn(request.id))

    # ---- attempts ---------------------------------------------------------------------------

    def fate(self, endpoint: Endpoint) -> tuple[int, float]:
        """What becomes of work that is sent to an endpoint now, and when that shows."""
        setup = SETUP_NS * self.random.uniform(0.5, 1.5) * max(1.0, self.load(endpoint) * 2) ** 3
        fault = endpoint.fault
        if fault in (None, BUSY, SLOW):
            if endpoint.state != READY:
                return FULL, 2 * MILLISECOND
            return BEGUN, 5 * setup if fault == SLOW else setup
        if fault == TIMEOUT:
            return TIMEOUT, math.inf
        if fault == CONNECT_FAILED:
            return CONNECT_FAILED, CONNECT_TIMEOUT_NS
        if fault == FULL:
            return FULL, 2 * MILLISECOND
        return int(fault), self.random.uniform(2, 300) * MILLISECOND

    def submit(self, instance: Instance, request_id: int, timeout_ns: int, address: bytes) -> None:
        request, endpoint = self.requests[request_id], self.endpoint_at(address)
        if request.instance != instance.number or request.endpoint is not None:
            raise RuntimeError(f"request {request_id} has an attempt out, or is another instance's")
        request.attempt += 1
        request.endpoint, request.sent_ns = endpoint, self.now
        endpoint.open += 1
        outcome, delay = self.fate(endpoint)
        left = max(1, request.deadline_ns - self.now)
        limit = min(timeout_ns, left) if timeout_ns > 0 else left
        if delay >= limit:
            outcome, delay = TIMEOUT, limit
        if outcome == BEGUN:
            self.after(delay, partial(self.begin, request, request.attempt))
        else:
            self.after(delay, partial(self.finish_attempt, request, request.attempt, outcome))

    def begin(self, request: Request, attempt: int) -> None:
        endpoint = request.endpoint
        if endpoint is None or request.attempt != attempt:
            return
        if request.answered:  # the client has left: nobody takes the connection
            self.finish_attempt(request, attempt, CANCELLED)
            return
        elapsed = self.now - request.sent_ns
        self.tell(request.instance, begun(request.id, elapsed, attempt, endpoint.address))
        endpoint.open -= 1
        self.stand(request, endpoint)

    def stand(self, request: Request, endpoint: Endpoint) -> None:
        self.requests[request.id] = request
        request.endpoint, request.standing, request.sent_ns = endpoint, True, self.now
        endpoint.open += 1
        life = self.pause(1.0 / self.scenario.lifetime_s)
        self.after(life, partial(self.finish_attempt, request, request.attempt, OK))

    def finish_attempt(self, request: Request, attempt: int, outcome: int) -> None:
        """One attempt ends; the client whose connection breaks comes back."""
        endpoint = request.endpoint
        if endpoint is None or request.attempt != attempt or request.id not in self.requests:
            return
        closed = request.standing or request.answered
        report = self.report(endpoint) if outcome in (OK, ERROR) else []
        elapsed = self.now - request.sent_ns
        self.tell(
            request.instance,
            result(request.id, endpoint.address, closed, attempt, elapsed, outcome, report),
        )
        if closed:
            self.end(request)
        else:
            request.endpoint = None
            endpoint.open -= 1
        if request.standing and outcome == RESET:
            self.after(self.pause(4.0), partial(self.come_back, request, RETURNED))

    def end(self, request: Request) -> None:
        self.requests.pop(request.id, None)
        if request.endpoint is not None:
            request.endpoint.open -= 1
            request.endpoint = None

    def deny(self, _instance: Instance, request_id: int, retry_after_ns: int) -> None:
        request = self.answer(request_id)
        if not request.answered and self.random.random() < 0.6:
            delay = retry_after_ns * self.random.uniform(1.0, 1.3) + 50 * MILLISECOND
            self.after(delay, partial(self.come_back, request, RETRY))

    def give_up(self, _instance: Instance, request_id: int) -> None:
        self.answer(request_id)

    def answer(self, request_id: int) -> Request:
        request = self.requests[request_id]
        if request.endpoint is not None:
            raise RuntimeError(f"request {request_id} is answered while an attempt is out")
        self.end(request)
        return request

    def reassign(self, _instance: Instance, request_id: int) -> None:
        request = self.requests.get(request_id)
        if request is not None and request.standing:  # else its end is in the same batch
            self.finish_attempt(request, request.attempt, OK)
            self.after(self.pause(10.0), partial(self.come_back, request, RETURNED))

    # ---- notes and odd events ---------------------------------------------------------------

    def send_notes(self) -> None:
        """Once a second: loads of some connections, and message times of endpoints that are slow."""
        self.after(SECOND, self.send_notes)
        told = set()
        for request in list(self.requests.values()):
            endpoint = request.endpoint
            if endpoint is None or not request.standing:
                continue
            note = partial(change, request.id, request.attempt, endpoint.address)
            if self.random.random() < 0.1:
                self.tell(request.instance, note(LOAD_NOTE, self.random.uniform(2e4, 1.5e5)))
            load = self.load(endpoint)
            if (load > 0.8 or endpoint.fault == BUSY) and (request.instance, endpoint.address) not in told:
                told.add((request.instance, endpoint.address))
                took = 50.0 if endpoint.fault == BUSY else 30.0 * load**4
                took *= self.random.uniform(0.8, 1.2)
                self.tell(request.instance, note(SLOW_NOTE, took))

    def send_odd(self) -> None:
        """An event that fits nothing the instance knows, or has a value of no sense."""
        self.after(self.pause(self.scenario.odd_per_s), self.send_odd)
        if not self.requests:
            return
        number = self.live_instance()
        request = self.random.choice(list(self.requests.values()))
        endpoint = self.random.choice(self.endpoints)
        unknown, address, nowhere = 4_000_000_000, endpoint.address, b"\xff" * 6
        record = self.random.choice(
            [
                begun(unknown, MILLISECOND, 0, address),
                begun(request.id, MILLISECOND, request.attempt + 1 & 0xFF, address),
                begun(request.id, MILLISECOND, max(0, request.attempt), nowhere),
                result(unknown, address, False, 0, MILLISECOND, ERROR),
                result(request.id, address, False, request.attempt + 1 & 0xFF, MILLISECOND, RESET),
                withdrawn(unknown),
                alarm(self.random.randrange(40)),
                sampled(OK, MILLISECOND, nowhere, [1.0, 1.0]),
                sampled(OK, MILLISECOND, address, [1.0]),
                sampled(OK, MILLISECOND, address, [math.nan] * len(self.scenario.columns)),
                sampled(OK, MILLISECOND, address, [2e6] * len(self.scenario.columns)),
                mail(number, b"s" + address),
                mail(self.scenario.balancers, b"s" + address),
                mail((number + 1) % self.scenario.balancers, b"s" + nowhere),
                mail((number + 1) % self.scenario.balancers, b"x" + address),
                mail((number + 1) % self.scenario.balancers, b""),
                mail((number + 1) % self.scenario.balancers, b"h" + address),
                change(unknown, 0, address, LOAD_NOTE, 5e4),
                change(unknown, 0, address, SLOW_NOTE, 90.0),
                change(request.id, 0, nowhere, SLOW_NOTE, 90.0),
                change(request.id, 0, address, SLOW_NOTE, math.nan),
                change(request.id, 0, address, LOAD_NOTE, -1.0),
                change(request.id, 0, address, 9, 90.0),
                already_open(self.new_request(number), nowhere),
            ]
        )
        self.tell(number, record)
        if request.standing and not (request.answered or request.flags & MID_FLOW):
            # An id that is known comes again.
            self.tell(request.instance, inbound(request))
            self.tell(request.instance, already_open(request, address))

    def end_oddly(self, outcome: int, share: float) -> None:
        """End a share of the attempts that are out and do not stand with an unusual outcome."""
        for request in list(self.requests.values()):
            out = request.endpoint is not None and not request.standing
            if out and self.random.random() < share:
                self.finish_attempt(request, request.attempt, outcome)


# ---- the scenarios that are recorded -----------------------------------------------------------


def every(first: float, last: float, step: float, *what: Any) -> tuple[tuple[Any, ...], ...]:
    """One entry of a timeline, again and again."""
    return tuple((round(first + step * number, 3), *what) for number in range(int((last - first) / step) + 1))


EFFECTS = (
    service("open"),
    service("keyed-all", "by_key"),
    service("keyed-zone", "by_key", "zone", windowNs=3 * SECOND),
    service("keyed-zone-shortly", "by_key", "zone", windowNs=400 * MILLISECOND),
    service("keyed-cell", "by_key", "cell", windowNs=650 * MILLISECOND),
    service("once", "once", aimNs=800 * MILLISECOND, hardLimitNs=4 * SECOND),
)

SCENARIOS = (
    Scenario(
        "peer-messages",
        seed=101,
        odd_per_s=4.0,
        timeline=(
            (4, "fault", CONNECT_FAILED, 1, 6),
            (9, "fault", None, 1, 6),
            (12, "fault", SLOW, 2, 3),
            (16, "fault", None, 2, 3),
            (16.5, "misreport", 5),
            (17, "misreport", 7),
            (18, "fault", CONNECT_FAILED, 0, 2, 4, 6, 8, 10),  # all of zone 0
            (22, "fault", None, 0, 2, 4, 6, 8, 10),
            (24, "set_arrivals", 0.2),
            (25.5, "fault", SLOW, *range(12)),
        ),
    ),
    Scenario(
        "many-instances",  # each of which sees little
        seed=102,
        instances=5,
        balancers=20,
        endpoints=8,
        arrivals_per_s=14.0,
        lifetime_s=5.0,
        capacity=7.0,
        groups=12,
        timeline=(
            *every(3, 28, 0.9, "drop", 4),
            *every(3.4, 28, 1.3, "drop", 7),
            *every(9, 12, 0.4, "flap", 0, 6),
            (5, "fault", CONNECT_FAILED, 1),
            (8, "drop", 2, 3),
            (11, "fault", None, 1),
            (13, "drop", 0, 4, 5),
            (14, "restart", 6),
            (16, "wave", 30),
            (20, "drop", 1, 2),
            (22, "fault", SLOW, *range(8)),
            (26, "fault", None, *range(8)),
        ),
    ),
    Scenario(
        "adopted-connections",
        seed=103,
        duration_s=33.0,
        instances=4,
        adopted=8,
        withdrawn_share=0.15,
        odd_per_s=3.0,
        family={"mode": "pass"},
        timeline=(
            *((0.05, "unlist", number) for number in (9, 10, 11)),
            *((0.9, "recall", number) for number in (9, 10, 11)),
            (2, "unlist", 7),
            (3, "unlist", 8),
            (3.2, "recall", 7),
            (5, "recall", 8),
            (5, "drain", 0, 4.0),
            (6, "stop", 1, 0.0),
            (6.5, "drain", 3, 3.0),
            (6.8, "stop", 2, 2.0),
            (10, "remove", 5),
            (12, "stop", 0, 0.0),
            (13, "recall", 0),
            (16, "stop", 3, 3.0),
            (17, "drop", 1, 2),
            (20, "stop", 1, 0.0),
            (22, "fault", BUSY, *(number for number in range(12) if number not in (3, 5))),
            (23.5, "drain", 4, 7.0),
            (23.5, "drain", 6, 7.0),
        ),
    ),
    Scenario(
        "discovery-failures",
        seed=104,
        instances=3,
        balancers=3,
        arrivals_per_s=15.0,
        listen_failures=0.3,
        settings={"discovery": "ask", "weightSource": "live"},
        timeline=(
            (3, "drain", 2, 5.0),
            (6, "discovery", False),
            (7, "restart", 2),
            (8, "remove", 4),
            (9, "add"),
            (12, "discovery", True),
            (14, "reweigh", 1, 0.4),
            (15, "reweigh", 3, math.nan),
            (15.5, "reweigh", 5, 0.0),
            (16, "drain", 6, 4.0),
            (17, "stop", 1, 1.0),
            (18, "recall", 6),
            (19, "discovery", False),
            (20, "discovery", True),
            (21, "publish"),
            (22, "restart", 4),
            (23, "send_cached", 0, 7),
            (25, "publish"),
            *every(26, 29, 0.25, "flap", 8, 9, 10),
        ),
    ),
    Scenario(
        "probe-answers",
        seed=105,
        capacity=9.0,
        arrivals_per_s=30.0,
        lifetime_s=6.0,
        odd_per_s=2.0,
        columns=("x1", "outstanding", "x0"),
        timeline=(
            (3, "fault", FULL, 0, 1),
            (5, "fault", TIMEOUT, 2, 3),
            (7, "fault", None, 0, 1),
            (8, "fault", ERROR, 4),
            (9, "fault", RESET, 5),
            (11, "fault", MOOT, 6),
            (12, "fault", None, 2, 3, 4, 5, 6),
            (14, "fault", SLOW, 7, 8, 9),
            (17, "restart", 1),
            (18, "fault", None, 7, 8, 9),
            (20, "wave", 120),
            (24, "remove", 3),
        ),
    ),
    Scenario(
        "effects",
        seed=106,
        endpoints=14,
        services=EFFECTS,
        withdrawn_share=0.05,
        timeline=(
            (3, "fault", ERROR, 0, 1),
            (5, "fault", RESET, 2, 3),
            (7, "fault", TIMEOUT, 4, 5),
            (9, "fault", None, 0, 1),
            (10, "fault", ERROR, 6, 7, 8, 9, 10),
            (13, "fault", None, 2, 3, 4, 5, 6, 7, 8, 9, 10),
            (15, "fault", RESET, 0, 2, 4, 6, 8, 10, 12),
            (17, "fault", TIMEOUT, 1, 3, 5, 7, 9),
            (20, "fault", None, *range(14)),
            (21, "fault", ERROR, *range(14)),
            (23, "fault", None, *range(14)),
            (23.5, "fault", ERROR, 2, 3, 4),
            *((25.5, "flap", number) for number in (2, 3, 4)),
            *((26.5, "restart", number) for number in (2, 3, 4)),
            (26.6, "fault", ERROR, 2, 3, 4),
        ),
    ),
    Scenario(
        "outcomes",
        seed=107,
        columns=(),
        groups=0,
        withdrawn_share=0.1,
        odd_per_s=3.0,
        services=(EFFECTS[0], EFFECTS[1], EFFECTS[-1]),
        allowed={"probing": False, "peerMessages": False, "retryAfter": False},
        timeline=(
            *every(2, 8, 0.31, "end_oddly", CANCELLED, 0.6),
            *every(8, 14, 0.31, "end_oddly", MOOT, 0.6),
            *every(14, 18, 0.31, "end_oddly", FULL, 0.6),
            (9, "fault", FULL, 0, 1, 2),
            (19, "fault", CANCELLED, 3, 4),
            (20, "fault", FULL, *range(12)),
            (23, "fault", None, *range(12)),
            (24, "wave", 80),
        ),
    ),
    Scenario(
        "overload",
        seed=108,
        endpoints=6,
        cold=2,
        capacity=6.0,
        arrivals_per_s=22.0,
        columns=("utilization",),
        services=(service("fast"), service("slow", aimNs=900 * MILLISECOND)),
        family={"messageAimNs": [60 * MILLISECOND, 400 * MILLISECOND], "mode": "pass"},
        timeline=(
            (6, "fault", SLOW, 0, 1, 2, 3),
            (10, "drain", 3, 7.0),
            (11, "fault", SLOW, *range(6)),
            (12.5, "stop", 1, 1.0),
            (13, "restart", 0),
            (14, "stop", 2, 0.0),
            (16, "fault", None, *range(6)),
            (18, "add"),
            (19, "drain", 1, 4.0),
            (22, "restart", 1),
            (25, "wave", 60),
        ),
    ),
)


# ---- recording ---------------------------------------------------------------------------------


def simulator_command() -> str:
    """The deploy file's command named `sim`, run by this interpreter whatever its environment is called."""
    command: str = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["sim"]
    return command.replace(DEPLOY_PYTHON, shlex.quote(sys.executable))


def record(scenario: Scenario, command: str) -> tuple[bytes, bytes]:
    """Play a scenario; the frames sent to the command, and its replies."""
    sent, received = bytearray(), bytearray()
    with subprocess.Popen(
        ["sh", "-c", command], cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE
    ) as process:
        assert process.stdin is not None and process.stdout is not None
        source, sink = process.stdout, process.stdin

        def exchange(batch: bytes) -> bytes:
            sink.write(batch)
            sink.flush()
            size = source.read(4)
            reply = size + source.read(int.from_bytes(size, "big") - 4)
            sent.extend(batch)
            received.extend(reply)
            return reply

        Fleet(scenario, exchange).play()
        sink.close()
        process.wait(timeout=30)
    return bytes(sent), bytes(received)


def main(names: Sequence[str]) -> int:
    DATA.mkdir(parents=True, exist_ok=True)
    for scenario in SCENARIOS:
        if names and scenario.name not in names:
            continue
        for suffix, content in zip(("in", "out"), record(scenario, simulator_command()), strict=True):
            path = DATA / f"{scenario.name}.{suffix}.xz"
            path.write_bytes(lzma.compress(content, preset=9))
            print(f"{path.name}: {sum(1 for _ in frames(content))} frames, {path.stat().st_size} bytes")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
