"""Every decision of a linnetshift node. The types it speaks are in `linnetshift/interface.py`.

Ordinary path: weighted rendezvous hashing. A request's key (its group, else its client) is hashed
once and mixed with the hash of each listed endpoint; the endpoint with the highest -weight / log(h) gets it.
`Balancer.step` is the whole interface: events in, actions out, no clock and no I/O.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

import numpy as np
import numpy.typing as npt

from linnetshift.routing.actions import (
    ALL_PEERS,
    Action,
    Fail,
    HealthCheck,
    Migrate,
    Reject,
    Send,
    SendPeerMessage,
    SetTimer,
    Watch,
)
from linnetshift.routing.concurrency_limit import Window
from linnetshift.routing.events import (
    LOAD_NOTE,
    MID_FLOW,
    NEVER_RAN,
    RETRY,
    RETURNED,
    SLOW_NOTE,
    AdoptedConnection,
    AttemptEnded,
    ConnectionEstablished,
    ConnectionNote,
    EndpointEntry,
    EndpointList,
    EndpointState,
    Event,
    HealthCheckResult,
    ListForm,
    Outcome,
    PeerMessage,
    Request,
    RequestWithdrawn,
    TimerFired,
)
from linnetshift.routing.group_affinity import GroupSizes
from linnetshift.routing.load_shedding import SHED_STEP, LoadShedding
from linnetshift.routing.ranking import MASK, endpoint_hash, in_order, mix64
from linnetshift.routing.returning_clients import Returns
from linnetshift.routing.settings import Effect, RequestClass, Scope, Settings
from linnetshift.routing.slow_start import SlowStart, pace, warmth

WARM_STEPS = 8  # in which warm-up acts on weights: nodes a few milliseconds apart hold the same ranking
ERRORS_TOLD = (
    2  # so many endpoints' errors are a request's own fault, so many requests' in a row an endpoint's
)
NOTE_NS = 2_500_000_000  # slow notes come once a second while they hold; two in a row may get lost to chance
# Probed load (asked over what the endpoint can do) from which an endpoint is passed over, and to which moves
# bring it.
HOT_LOAD = 0.85
AIM_LOAD = 0.75
HEALTH_CHECK_GAIN = 0.3  # share of the excess that moves at each health check; reports may be seconds old
HEALTH_CHECKS_EACH = (
    3  # that an arriving request pays for: where its place is sought, and where slow notes steer
)
# How long a probed load serves placements, and how long it keeps a hot endpoint passed over.
HEALTH_CHECK_FRESH_NS = 500_000_000
HEALTH_CHECK_KEPT_NS = 3_000_000_000
# Word of a silent endpoint: how long it counts, how many voices (a node's own second failure too) make it
# hung.
VOICE_NS = 5_000_000_000
VOICES = 2
SILENT, HOT = (
    b"s",
    b"h",
)  # open a message to peers: this endpoint let no connection stand, its messages are slow
AT_ONCE = 2.0  # nodes that use an endpoint at once when it is back: rule 4 bears two more than its budget
HUNG_SHARE = 0.05  # of this node's connections there, moved at each tick
# to leave one that drains; its last moves go to any other endpoint
LEAVE_NS = 5_000_000_000
LAST_TICKS = 12
TOGETHER = 3  # endpoints of one zone or cell down at once, more than are seen to work there, mean all of it
REPORT_MEMORY = 0.1  # weight of a report in what is known of a connection's load
ASK_AGAIN_NS = (
    1_000_000_000  # the longest back-off: 6 s after discovery can be reached its news counts as told
)
TICK_TOKEN = 1 << 16
# Share of this node's connections moved off a hot endpoint at each note (one a second): from two thirds of
# the shortest aim on (under that it is only passed over), and once messages miss it the more work is piled
# up.
MOVE_SLOW = 0.05
MOVE_LATE = 0.1
MOVE_MOST = 0.4
PILED_NS = 200_000_000


@dataclass(slots=True, eq=False)
class Endpoint:
    """What this node knows of one endpoint."""

    id: bytes
    zone: int = 0
    cell: int = 0
    kind: int = 0
    state: int = EndpointState.READY
    weight: float = 1.0
    started: int = 0
    drain_within_ns: int = 0  # how soon after word that it drains it may stop, where that is known
    told: int = 0  # when this node learned that it drains or is gone
    open: int = 0  # this node's attempts and connections there
    standing: dict[int, PendingRequest] = field(default_factory=dict)  # the connections among them
    groups: dict[int, int] = field(default_factory=dict)  # and how many of each group they are
    hot_until: int = 0  # messages there are slow
    slow_ns: int = 0  # so long did they take; 0 where that is not known
    late_until: int = 0  # and miss the aim of most that this node has there
    avoid_until: int = 0  # end of the present spell of suspicion
    spell: int = 0  # its length; 0 when the endpoint never failed
    overload: bool = False  # the spell is for work piled up, not for silence
    load: float = 0.0  # as last probed
    load_at: int = -(1 << 62)
    sends: int = 0  # this node's sends there since that figure changed
    sends_before: int = 0  # and between the two changes before
    health_check_at: int = 0  # when the health check that is out was sent; 0 when none is
    struck_at: int = 0  # when that spell began
    voices: dict[int, int] = field(default_factory=dict)  # who found it silent, and when
    good_at: int = 0  # when a connection last came to stand there
    faults: int = 0  # errors in a row, each to a request that had met none before
    trial: int = -1  # the request that tries an endpoint on probation
    owed: bool = False  # it is back, and the next connection goes there: else none may for long

    def take(self, pending: PendingRequest) -> None:
        self.standing[pending.request.request_id] = pending
        self.groups[pending.request.group] = self.groups.get(pending.request.group, 0) + 1

    def let_go(self, pending: PendingRequest) -> None:
        if self.standing.pop(pending.request.request_id, None) is not None:
            self.groups[pending.request.group] -= 1
            if not self.groups[pending.request.group]:
                del self.groups[pending.request.group]


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that awaits its final answer, or a connection that stands."""

    request: Request | AdoptedConnection
    deadline: int
    load: float  # ns of work a second; 0 when unknown
    klass: RequestClass  # the rules it began with
    attempt: int = -1  # number of the latest attempt
    endpoint: Endpoint | None = None  # where the latest attempt went, while it is out
    standing: bool = False
    health_checks: int = 0  # sent on its behalf
    erred: list[Endpoint] = field(default_factory=list)  # endpoints that answered it with an error
    tried: list[Endpoint] = field(default_factory=list)
    skip: int = 0  # ranks that it passes by, since it came back
    cold: bytes = b""  # the cold endpoint that it was drawn for
    unsure: Endpoint | None = None  # endpoint of the first attempt that may have run
    ran_at: int = 0  # and when that was sent


class Balancer:
    """The decisions of one node. Instances share nothing."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = 0
        self.endpoints: dict[bytes, Endpoint] = {}
        self.sizes: dict[int, float] = {}  # by kind, the highest weight that was listed
        self.pending: dict[int, PendingRequest] = {}
        self.out: list[Action] = []
        self.ranked: tuple[list[Endpoint], npt.NDArray[np.uint64], npt.NDArray[np.float64], float] | None
        self.ranked_until = 0
        self.health_check_credit = 0.0
        self.load_each = 0.0  # load of one connection, by the endpoints' reports
        self.arrivals, self.arrivals_at = 0.0, 0  # requests in about the last second
        self.elsewhere = 0  # connections that this node's former process still holds
        self.each_fill = (
            0.0  # connections that fill an endpoint of weight 1, a standard core, by the loads told
        )
        self.standing = 0  # connections through this node when the ranking was last made
        self.held: deque[int] = deque()  # requests that wait for a chance
        self.hung: dict[bytes, Endpoint] = {}  # endpoints that this node's connections leave
        self.shedding = LoadShedding()
        self.ticking = False
        self.window = Window()  # how many set-ups may be out
        self.slow_start = SlowStart()  # of cold endpoints
        self.groups, self.returns = GroupSizes(), Returns()
        self.setting_up = 0  # attempts that are out and do not stand
        self.asked, self.ask_failures, self.ask_token = False, 0, 0
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Also while running, when classes may be added but keep their places; what is known stays."""
        self.settings, self.rules, self.ranked = settings, settings.classes, None
        columns = settings.report_columns
        self.load_column = columns.index("x0") if settings.may_health_check and "x0" in columns else -1
        self.held_column = columns.index("outstanding") if "outstanding" in columns else -1
        self.tip_ns = settings.overload_window_ns or settings.warm_up_ns
        self.tick_ns = min(c.latency_objective_ns for c in settings.offered) // 8
        self.message_latency_objective = min(c.message_latency_objective_ns for c in settings.offered)

    def step(self, now_ns: int, events: Sequence[Event]) -> list[Action]:
        self.now = max(self.now, now_ns)  # a clock that steps back must not revive past deadlines
        self.out = []
        for event in events:
            self.handle(event)
        if self.settings.must_poll and not self.asked:
            self.asked = True
            self.out.append(Watch(True))
        return self.out

    def handle(self, event: Event) -> None:
        """Hand one event to the method for its type."""
        match event:
            case EndpointList():
                self.handle_endpoint_list(event)
            case Request():
                self.handle_request(event)
            case AdoptedConnection():
                self.handle_adopted_connection(event)
            case ConnectionEstablished():
                self.handle_established(event)
            case ConnectionNote():
                self.handle_note(event)
            case AttemptEnded():
                self.handle_attempt_ended(event)
            case RequestWithdrawn():
                self.handle_withdrawn(event)
            case TimerFired():
                self.handle_timer_fired(event)
            case HealthCheckResult():
                self.handle_health_check_result(event)
            case PeerMessage():
                self.handle_peer_message(event)

    # ---- the list of endpoints ------------------------------------------------------------------

    def handle_endpoint_list(self, event: EndpointList) -> None:
        if event.form == ListForm.FAILED:
            self.handle_list_failed()
            return
        self.ask_failures = 0
        if event.form in (ListForm.FULL, ListForm.CACHED):
            named = {entry.endpoint for entry in event.entries}
            for endpoint in self.endpoints.values():
                if endpoint.id not in named and endpoint.state != EndpointState.REMOVED:
                    self.leave(endpoint, EndpointState.REMOVED)
        for entry in event.entries:
            known = self.endpoints.get(entry.endpoint)
            if known is None:
                known = self.endpoints[entry.endpoint] = Endpoint(entry.endpoint, told=self.now)
                self.update(known, entry)
                continue
            was = known.state
            if entry.state == EndpointState.READY and was != EndpointState.READY:
                known.owed = known.owed or self.random.random() * self.settings.balancers < AT_ONCE
            if entry.started_ns != known.started:
                # What was held against it ended with the old process.
                known.hot_until = known.late_until = known.avoid_until = known.spell = known.faults = 0
            self.update(known, entry)
            if entry.state != EndpointState.READY:
                known.state = was
                self.leave(known, EndpointState(entry.state))
        for endpoint in [
            h for h in self.endpoints.values() if h.state == EndpointState.REMOVED and not h.open
        ]:
            del self.endpoints[endpoint.id]
        self.ranked = None

    def update(self, endpoint: Endpoint, entry: EndpointEntry) -> None:
        endpoint.zone, endpoint.cell, endpoint.kind = entry.zone, entry.cell, entry.kind
        endpoint.state, endpoint.started, endpoint.drain_within_ns = (
            entry.state,
            entry.started_ns,
            entry.drain_within_ns,
        )
        endpoint.weight = (
            entry.weight if 0.0 < entry.weight < 1e9 else 1.0
        )  # NaN and absurd figures count as 1
        self.sizes[endpoint.kind] = max(self.sizes.get(endpoint.kind, 0.0), endpoint.weight)

    def leave(self, endpoint: Endpoint, state: EndpointState) -> None:
        """The grace counts from the first word that an endpoint drains or is gone."""
        if endpoint.state == EndpointState.READY:
            endpoint.told = self.now
        endpoint.state = state
        self.empty_out(endpoint)

    def empty_out(self, endpoint: Endpoint) -> None:
        """What stands on an endpoint that drains or is gone is told to move before the endpoint stops."""
        if endpoint.state != EndpointState.READY and endpoint.standing:
            self.hung[endpoint.id] = endpoint
            self.start_tick()

    def handle_list_failed(self) -> None:
        """Ask again after a back-off, jittered so that nodes refused together do not return together."""
        self.ask_failures = min(self.ask_failures + 1, 5)
        longest = min(self.settings.must_poll_within_ns // 4, ASK_AGAIN_NS)
        wait = min(longest // 10 << self.ask_failures, longest) * self.random.uniform(0.5, 1.0)
        self.ask_token = (self.ask_token + 1) & 0xFFFF
        self.out.append(SetTimer(int(wait), self.ask_token))

    def handle_timer_fired(self, event: TimerFired) -> None:
        if event.token == TICK_TOKEN:
            self.ticking = False
            self.leave_hung()
            self.retry_held()
        elif event.token == self.ask_token:
            self.out.append(Watch(True))

    # ---- ranking ----------------------------------------------------------------------------

    def warmth(self, endpoint: Endpoint) -> float:
        """The share of its capacity that an endpoint surely has by now."""
        return warmth(self.settings, endpoint.started, self.now)

    def cold(self, endpoint: Endpoint) -> bool:
        return self.warmth(endpoint) < 1.0

    def size(self, endpoint: Endpoint) -> float:
        """Its weight; where that falls with load, the highest that an endpoint of its kind ever had."""
        return endpoint.weight if self.settings.weights_are_sizes else self.sizes[endpoint.kind]

    def cold_draw(self, pending: PendingRequest) -> Endpoint | None:
        """The cold endpoint that this request goes to, if it is drawn for one."""
        self.candidates()
        if pending.cold not in self.slow_start.shares or self.endpoints[pending.cold] in pending.tried:
            pending.cold = self.slow_start.draw(self.now, self.tip_ns, self.random.random) or b""
        return self.endpoints.get(pending.cold)

    def turn_in(self) -> float:
        """How long until a request that joins those held has a turn; 0 where a warm endpoint may serve it.

        One that errs or has work piled up has none to give before its spell is over.
        """
        soonest, usable = math.inf, []
        for endpoint in [h for h in self.endpoints.values() if h.state == EndpointState.READY]:
            bad = endpoint.overload or endpoint.faults >= ERRORS_TOLD
            spell = endpoint.avoid_until - self.now if bad else 0
            warm = (
                endpoint.started + self.settings.warm_up_ns - self.now if self.warmth(endpoint) < 1.0 else 0
            )
            soonest = min(soonest, max(spell, warm, 0))
            usable += [endpoint.id] if spell <= 0 else []
        return min(soonest, self.slow_start.wait_ns(usable, len(self.held)))

    def candidates(self) -> tuple[list[Endpoint], npt.NDArray[np.uint64], npt.NDArray[np.float64], float]:
        if self.ranked is None or self.now >= self.ranked_until:
            listed = sorted(
                (h for h in self.endpoints.values() if h.state != EndpointState.REMOVED), key=lambda h: h.id
            )
            hashes = np.array([endpoint_hash(h.id) for h in listed], dtype=np.uint64)
            warmth = [int(self.warmth(h) * WARM_STEPS) / WARM_STEPS or 1 / WARM_STEPS for h in listed]
            weights = [h.weight * w for h, w in zip(listed, warmth, strict=True)]
            total = sum(self.size(h) * w for h, w in zip(listed, warmth, strict=True))
            # Where crossing is dear a key has an endpoint in each zone, as far as there are endpoints for all
            # groups.
            zone_spread = self.groups.worth_places([h.zone for h in listed]) if self.one_of_many() else 1.0
            far = self.settings.cross_zone_weight**zone_spread
            near = np.array([1.0 if h.zone == self.settings.zone else far for h in listed])
            self.ranked = listed, hashes, 1.0 / (near * np.array(weights)), total
            # By size, so that all nodes' parts are the fleet's, wherever the endpoints are.
            cold = [(h, w) for h, w in zip(listed, warmth, strict=True) if not h.state and self.cold(h)]
            self.slow_start.shares = {h.id: self.size(h) * w / total for h, w in cold}
            self.standing = self.elsewhere + sum(len(h.standing) for h in self.endpoints.values())
            loads = [
                pending.load
                for h in self.endpoints.values()
                for pending in h.standing.values()
                if pending.load
            ]
            self.each_fill = 1e9 * len(loads) / sum(loads) if loads else self.each_fill
            told = self.each_fill * total / self.settings.balancers
            fresh = self.slow_start.fresh_rate(self.now)
            self.slow_start.rate = pace(self.settings, fresh, self.standing, told, len(listed))
            step = self.settings.warm_up_ns // (2 * WARM_STEPS)
            self.ranked_until = self.now + step if min(warmth, default=1.0) < 1.0 else MASK
        return self.ranked

    def ranking(self, key_hash: int) -> Iterator[Endpoint]:
        """Listed endpoints, best first; the sort is stable over sorted ids, which settles ties."""
        listed, hashes, reciprocal, _ = self.candidates()
        return (listed[i] for i in in_order(key_hash, hashes, reciprocal))

    def one_of_many(self) -> bool:
        """Whether each node sees little; unlike what it holds, this changes not from moment to moment."""
        return self.settings.balancers > len(self.endpoints)

    def sees_little(self) -> bool:
        return len(self.pending) <= len(self.endpoints)

    def order(self, pending: PendingRequest) -> Iterator[Endpoint]:
        """The ranking, endpoints where some of the group stand first, since each endpoint that holds any pays
        for it.

        A node with fewer connections than there are endpoints sees too few of these: each would have its own.
        Nor has it seen why a client came back: unless one in some went on, all would return to who drops
        them.
        """
        group, ranked = pending.request.group, self.ranking(self.key_hash(pending.request))
        if not group or self.sees_little():
            ranks = list(ranked)
            return iter(ranks[pending.skip :] + ranks[: pending.skip])
        return iter(sorted(ranked, key=lambda endpoint: group not in endpoint.groups))

    def may_send(self, endpoint: Endpoint, mid_flow: bool) -> bool:
        if endpoint.state == EndpointState.READY:
            return not self.cold(endpoint)
        # A draining holder still takes its own connections' packets, but only within the grace.
        return (
            mid_flow
            and endpoint.state == EndpointState.DRAINING
            and self.now - endpoint.told < self.settings.drain_grace_ns - self.settings.step_ns
        )

    # ---- endpoints to pass over -----------------------------------------------------------------

    def hot(self, endpoint: Endpoint, klass: RequestClass) -> bool:
        """Whether messages there are slow by the measure of that class."""
        return (
            self.now < endpoint.hot_until
            and not 0 < endpoint.slow_ns * 3 < klass.message_latency_objective_ns
        )

    def passed_over(self, endpoint: Endpoint, klass: RequestClass) -> bool:
        """Hot, or under suspicion: the key's next rank is asked instead."""
        if self.hot(endpoint, klass) or self.now < endpoint.avoid_until or endpoint.trial >= 0:
            return True
        if self.now - endpoint.load_at < HEALTH_CHECK_KEPT_NS and self.load_now(endpoint) >= HOT_LOAD:
            return True
        return 0 < endpoint.health_check_at < self.now - 2 * self.tick_ns  # too slow to say

    def load_now(self, endpoint: Endpoint) -> float:
        """The reported load and what was sent since; in a wave of arrivals the other nodes send as much.

        Reports are up to seconds old: at a node's start a hundred connections can land behind one figure.
        """
        others = min(self.settings.balancers, max(1.0, self.arrivals))
        return endpoint.load + (endpoint.sends + endpoint.sends_before / 2) * others * self.load_each

    def health_check_first(self, endpoint: Endpoint, pending: PendingRequest) -> bool:
        """Ask an endpoint before a connection is placed there, unless what stands there tells of it already.

        Of many nodes each has fewer connections than there are endpoints: a jam or a loss is new to every
        one.
        """
        told = self.load_column < 0 and (endpoint.standing or not self.sees_little())
        known = (
            told
            or self.now - endpoint.load_at < HEALTH_CHECK_FRESH_NS
            or pending.health_checks >= HEALTH_CHECKS_EACH
        )
        if not self.settings.may_health_check or known:
            return False
        if not endpoint.health_check_at:
            pending.health_checks += 1
        self.check_health(endpoint)
        return True

    def check_health(self, endpoint: Endpoint) -> None:
        if not endpoint.health_check_at:
            endpoint.health_check_at = self.now
            self.health_check_credit -= 1.0
            self.out.append(HealthCheck(endpoint.id))

    def handle_health_check_result(self, event: HealthCheckResult) -> None:
        endpoint = self.endpoints.get(event.endpoint)
        if endpoint is None or not endpoint.health_check_at:
            return
        asked, endpoint.health_check_at, report = endpoint.health_check_at, 0, event.report
        if event.outcome != Outcome.OK:
            if event.outcome != Outcome.FULL:  # too many health checks at once say nothing of the endpoint
                self.strike(endpoint, overload=event.outcome != Outcome.CONNECT_FAILED)
            self.retry_held()
            return
        endpoint.load_at = self.now  # an answer without figures still says that it answers, and how soon
        if event.elapsed_ns * 3 >= self.message_latency_objective * 2 > 0:
            endpoint.hot_until, endpoint.slow_ns = self.now + NOTE_NS, event.elapsed_ns // 2
        if asked >= endpoint.started and len(report) == len(self.settings.report_columns):
            load = report[self.load_column] if self.load_column >= 0 else -1.0
            if 0.0 <= load < 1e6:
                held = report[self.held_column] if self.held_column >= 0 else 0.0
                if load != endpoint.load:
                    endpoint.load, endpoint.sends_before, endpoint.sends = load, endpoint.sends, 0
                if 8.0 < held < 1e6:
                    self.load_each += REPORT_MEMORY * (load / held - self.load_each)
                if load > HOT_LOAD:
                    late = self.now < endpoint.late_until
                    self.move_off(endpoint, late, lambda _: (load - AIM_LOAD) / load * HEALTH_CHECK_GAIN)
        self.retry_held()

    def strike(self, endpoint: Endpoint, overload: bool) -> None:
        """A failure seen at an endpoint: skip it for a spell that doubles while trials go on failing."""
        if self.now < endpoint.avoid_until:
            endpoint.overload = endpoint.overload and overload
            return  # the same blow, seen by more requests
        endpoint.overload, endpoint.struck_at = overload, self.now
        shortest, longest = 4 * self.settings.connect_timeout_ns, self.settings.warm_up_ns
        recent = self.now < endpoint.avoid_until + 2 * endpoint.spell
        endpoint.spell = min(endpoint.spell * 2, longest) if endpoint.spell and recent else shortest
        endpoint.avoid_until = self.now + int(endpoint.spell * self.random.uniform(0.75, 1.25))
        self.strike_together([h for h in self.endpoints.values() if h.zone == endpoint.zone], endpoint)
        self.strike_together([h for h in self.endpoints.values() if h.cell == endpoint.cell], endpoint)

    def handle_silence(self, endpoint: Endpoint) -> None:
        """No connection comes to stand there: tell the peers, each of whom sees that only rarely."""
        me = self.settings.node
        heard = sum(self.now - at < VOICE_NS for at in endpoint.voices.values())
        if self.settings.may_message_peers and heard < VOICES and me not in endpoint.voices:
            self.out.append(SendPeerMessage(ALL_PEERS, SILENT + endpoint.id))
        self.hear(endpoint, self.settings.balancers if me in endpoint.voices else me)

    def handle_peer_message(self, event: PeerMessage) -> None:
        endpoint = self.endpoints.get(event.data[1:])
        if endpoint is None or event.sender >= self.settings.balancers or event.sender == self.settings.node:
            return
        if event.data[:1] == SILENT:
            self.hear(endpoint, event.sender)
        elif event.data[:1] == HOT:
            endpoint.hot_until, endpoint.slow_ns = max(endpoint.hot_until, self.now + NOTE_NS), 0

    def hear(self, endpoint: Endpoint, voice: int) -> None:
        """On a hung endpoint connections get no answer and no reset until the list knows, seconds later."""
        since = max(self.now - VOICE_NS, endpoint.good_at)
        endpoint.voices = {v: at for v, at in endpoint.voices.items() if at > since} | {voice: self.now}
        if len(endpoint.voices) >= VOICES:
            self.strike(endpoint, overload=False)
            if endpoint.standing:
                self.hung[endpoint.id] = endpoint
                self.start_tick()

    def leave_hung(self) -> None:
        for endpoint in list(self.hung.values()):
            ready = endpoint.state == EndpointState.READY
            left = max(1, (endpoint.told + (endpoint.drain_within_ns or LEAVE_NS) - self.now) // self.tick_ns)
            count = int(len(endpoint.standing) * (HUNG_SHARE if ready else 1.0 / left) + self.random.random())
            for pending in list(endpoint.standing.values())[:count]:
                if self.better_endpoint(pending, endpoint, not ready and left <= LAST_TICKS) is not None:
                    self.move(pending, endpoint)
            if not endpoint.standing or (ready and self.now >= endpoint.avoid_until):
                del self.hung[endpoint.id]
        if self.hung:
            self.start_tick()

    def strike_together(self, group: list[Endpoint], endpoint: Endpoint) -> None:
        """When a whole zone or cell is lost, don't find it out endpoint by endpoint, nor try them all at
        once.
        """
        moment = 2 * self.settings.connect_timeout_ns  # connections that break together were not shed
        struck = [h for h in group if self.now < h.avoid_until]
        down = sum(not h.overload or self.now - h.struck_at < moment for h in struck)
        fine = [h for h in group if self.now < h.good_at + 2 * endpoint.spell and self.now >= h.avoid_until]
        if down >= TOGETHER and down > len(fine):
            for other in group:
                if self.now >= other.avoid_until and other not in fine:
                    other.avoid_until, other.spell = endpoint.avoid_until, endpoint.spell
                    other.overload = endpoint.overload

    def handle_note(self, event: ConnectionNote) -> None:
        endpoint = self.endpoints.get(event.endpoint)
        if endpoint is None or not 0.0 <= event.value < 1e9:
            return
        if event.kind == LOAD_NOTE:
            if (pending := self.pending.get(event.request_id)) is not None:
                pending.load = event.value * 1e3
        elif event.kind == SLOW_NOTE:
            value = int(event.value * 1e6)
            endpoint.hot_until, endpoint.slow_ns = (
                self.now + NOTE_NS if value * 3 >= self.message_latency_objective else 0,
                value,
            )
            one_in_all = self.random.random() * self.settings.balancers < 1.0
            if endpoint.hot_until and self.settings.may_message_peers and one_in_all:
                # Nodes without a connection there hear nothing of it, and would send moved clients back.
                self.out.append(SendPeerMessage(ALL_PEERS, HOT + endpoint.id))
            here = [pending.klass.message_latency_objective_ns for pending in endpoint.standing.values()] or [
                self.message_latency_objective
            ]
            late = 2 * sum(value >= aim for aim in here) >= len(here)
            endpoint.late_until = self.now + NOTE_NS if late else 0
            self.review_admission()
            if endpoint.hot_until and self.load_column >= 0 and self.health_check_credit >= 1.0:
                if self.now - endpoint.load_at > HEALTH_CHECK_FRESH_NS:
                    self.check_health(endpoint)  # its answer tells how much to move
            elif endpoint.hot_until:
                deep = min(MOVE_MOST, MOVE_LATE * (1.0 + value / PILED_NS))
                self.move_off(
                    endpoint, late, lambda aim: deep if value >= aim else MOVE_SLOW * (value * 3 >= aim * 2)
                )

    def move_off(self, endpoint: Endpoint, late: bool, share: Callable[[int], float]) -> None:
        """Move a few of this node's connections, heaviest first; each node does so on its own notes.

        `share` tells how many by the message aim of their class: who is served in time there stays.
        """
        shed = (
            [pending for pending in endpoint.standing.values() if not self.admitted(pending)] if late else []
        )
        for pending in shed[: int(len(endpoint.standing) * SHED_STEP + self.random.random())]:
            self.move(pending, endpoint)
        # While most are late nowhere is better. Afterwards admitted ones must move, or a jam of theirs lasts.
        if shed or (late and self.shedding.jammed and not self.shedding.at_least):
            return
        shares = {
            pending: share(pending.klass.message_latency_objective_ns)
            for pending in endpoint.standing.values()
        }
        count = int(sum(shares.values()) + self.random.random())
        for pending in sorted(
            filter(shares.get, shares), key=lambda pending: (-shares[pending], -pending.load)
        )[:count]:
            if self.better_endpoint(pending, endpoint):
                self.move(pending, endpoint)

    def move(self, pending: PendingRequest, endpoint: Endpoint) -> None:
        endpoint.let_go(pending)
        self.out.append(Migrate(pending.request.request_id))

    def review_admission(self) -> None:
        """When most endpoints are late, moves only carry the jam about: fewer keys must be served."""
        if not self.shedding.due(self.now):
            return
        # One of many nodes stands at few endpoints: that those are late says nothing of the others.
        used = [h for h in self.endpoints.values() if h.standing or h.state == EndpointState.READY]
        used = [h for h in used if self.warmth(h) >= 1.0] or used  # that a cold one is late passes by itself
        self.shedding.review(self.now, sum(self.now < h.late_until for h in used), len(used))

    def admitted(self, pending: PendingRequest) -> bool:
        return self.shedding.admits(self.key_hash(pending.request))

    def better_endpoint(
        self, pending: PendingRequest, endpoint: Endpoint, leaving: bool = False
    ) -> Endpoint | None:
        """Never from one bad endpoint to another, unless it drains; nor to one that may not take it yet."""
        for other in self.order(pending):
            may = other is not endpoint and (leaving or not self.passed_over(other, pending.klass))
            if may and (self.may_send(other, False) or (leaving and other.state == EndpointState.READY)):
                return other
        return None

    # ---- requests ---------------------------------------------------------------------------

    def handle_request(self, event: Request) -> None:
        if event.request_id in self.pending:
            return
        pending = self.pending[event.request_id] = PendingRequest(
            event, 0, event.load_hint, self.rules[event.klass]
        )
        pending.deadline = self.now + (event.budget_ns or pending.klass.deadline_ns)
        if not event.flags & (RETRY | RETURNED):
            self.health_check_credit = (
                min(self.health_check_credit, HEALTH_CHECKS_EACH * 4) + HEALTH_CHECKS_EACH
            )
        self.groups.meet(event.group)
        chance = self.returns.came(self.now) if event.flags & RETURNED and self.one_of_many() else 0.0
        while chance and self.random.random() < chance:
            pending.skip += 1
        past = (self.now - self.arrivals_at) / 1e9
        self.arrivals, self.arrivals_at = self.arrivals * max(0.0, 1.0 - past) + 1.0, self.now
        self.review_admission()
        if event.flags & MID_FLOW or self.admitted(pending):
            self.place(pending)
        else:
            self.give_up(pending)

    def key_hash(self, request: Request | AdoptedConnection) -> int:
        """Group key, else client key, else the request's own id, so that keyless requests spread."""
        return mix64(request.group or request.key or request.request_id)

    def place(self, pending: PendingRequest) -> None:
        request, klass = pending.request, pending.klass
        left = pending.deadline - self.now
        late = pending.unsure is not None and not klass.may_retry(
            pending.ran_at, self.now + self.settings.connect_timeout_ns
        )  # a repeat counts once its last byte has come, which is after the connection is up
        if left <= 0 or pending.attempt + 1 >= klass.max_attempts or late:
            self.give_up(pending)
            return
        mid_flow = bool(request.flags & MID_FLOW) and pending.attempt < 0
        room = mid_flow or self.setting_up < self.window.size
        if room and (endpoint := self.choose(pending, mid_flow)) is not None:
            self.send(pending, endpoint, left)
        else:
            self.hold(pending)

    def hold(self, pending: PendingRequest) -> None:
        """Wait for a chance; where no endpoint may have one, or it would come too late, refuse at once."""
        if pending.deadline - self.now <= max(2 * self.tick_ns, self.turn_in()):
            self.give_up(pending)
            return
        self.held.append(pending.request.request_id)
        self.start_tick()

    def start_tick(self) -> None:
        if not self.ticking:
            self.ticking = True
            self.out.append(SetTimer(self.tick_ns, TICK_TOKEN))

    def retry_held(self) -> None:
        waiting, self.held = self.held, deque()
        for request in waiting:
            if (pending := self.pending.get(request)) is not None and pending.endpoint is None:
                self.place(pending)

    def count_setup(self, latency_objective_ns: int, elapsed_ns: int, failed: bool) -> None:
        self.window.count(
            self.now, latency_objective_ns, elapsed_ns, failed, float(self.settings.balancers + 1000)
        )

    def choose(self, pending: PendingRequest, mid_flow: bool) -> Endpoint | None:
        """The key's best endpoint that nothing speaks against; if all are bad, the plain ranking."""
        plain: Endpoint | None = None  # suspect, but not known to be overloaded
        again: Endpoint | None = None
        drawn_for = None if mid_flow else self.cold_draw(pending)
        first = [h for h in self.endpoints.values() if h is drawn_for or (h.owed and not mid_flow)]
        for endpoint in (*first, *self.order(pending)):
            may = (
                self.may_send(endpoint, mid_flow)
                or endpoint is drawn_for
                or (endpoint.owed and endpoint.state == EndpointState.READY)
            )
            if not may or not self.effect_allows(pending, endpoint):
                continue
            if mid_flow:
                return endpoint
            if endpoint in pending.tried:
                again = again or (endpoint if endpoint not in pending.erred else None)
            elif self.passed_over(endpoint, pending.klass):
                faulty = endpoint.faults >= ERRORS_TOLD  # it answers, and would err again
                if (
                    not self.hot(endpoint, pending.klass)
                    and not endpoint.overload
                    and not faulty
                    and endpoint.trial < 0
                ):
                    plain = plain or endpoint
            elif self.health_check_first(endpoint, pending):
                return None  # its answer, or its silence, decides
            else:
                return endpoint
        return plain or again

    def send(self, pending: PendingRequest, endpoint: Endpoint, left: int) -> None:
        # Leave room for another try, unless what would be left is too short for one or all are slow.
        # Where one more would come too late to be harmless, all the time that is left serves this one.
        another = pending.attempt + 2 < pending.klass.max_attempts and not self.window.jammed
        another = another and pending.klass.may_retry(
            0, pending.klass.latency_objective_ns + self.settings.connect_timeout_ns
        )
        within = (
            pending.klass.latency_objective_ns
            if another and left >= 2 * pending.klass.latency_objective_ns
            else left
        )
        pending.attempt += 1
        pending.endpoint = endpoint
        pending.tried.append(endpoint)
        endpoint.open += 1
        endpoint.owed = False
        endpoint.sends += 1
        self.setting_up += 1
        if endpoint.spell and self.now < endpoint.avoid_until + 2 * endpoint.spell:
            endpoint.trial = pending.request.request_id
        self.out.append(Send(pending.request.request_id, endpoint.id, within))

    def effect_allows(self, pending: PendingRequest, endpoint: Endpoint) -> bool:
        """Whether one more attempt, there, can take effect at most once."""
        klass, first = pending.klass, pending.unsure
        if first is None or klass.effect == Effect.IDEMPOTENT:
            return True
        if klass.scope == Scope.ALL:
            return True
        return endpoint.zone == first.zone if klass.scope == Scope.ZONE else endpoint.cell == first.cell

    def give_up(self, pending: PendingRequest) -> None:
        again_by = self.now + self.settings.max_retry_after_ns
        harmless = pending.unsure is None or pending.klass.client_may_retry(pending.ran_at, again_by)
        self.finish(pending)
        if harmless and pending.deadline > self.now:
            self.out.append(Reject(pending.request.request_id, self.settings.max_retry_after_ns))
        else:
            self.out.append(Fail(pending.request.request_id))

    def finish(self, pending: PendingRequest) -> None:
        self.pending.pop(pending.request.request_id, None)
        self.release(pending)

    def release(self, pending: PendingRequest) -> None:
        if pending.endpoint is not None:
            pending.endpoint.open -= 1
            self.setting_up -= not pending.standing
            pending.endpoint.let_go(pending)
            if pending.endpoint.trial == pending.request.request_id:
                pending.endpoint.trial = -1
            pending.endpoint = None

    def handle_adopted_connection(self, event: AdoptedConnection) -> None:
        endpoint = self.endpoints.get(event.endpoint)
        if endpoint is None or event.request_id in self.pending:
            return
        pending = self.pending[event.request_id] = PendingRequest(
            event, 0, event.load_hint, self.rules[event.klass]
        )
        pending.attempt, pending.endpoint, pending.standing = 0, endpoint, True
        endpoint.take(pending)
        endpoint.open += 1

    def handle_established(self, event: ConnectionEstablished) -> None:
        pending, endpoint = self.pending.get(event.request_id), self.endpoints.get(event.endpoint)
        if (
            pending is None
            or event.attempt != pending.attempt
            or endpoint is None
            or pending.endpoint is not endpoint
        ):
            return
        pending.standing, endpoint.good_at = True, self.now
        endpoint.take(pending)
        endpoint.voices.clear()
        self.hung.pop(event.endpoint, None)
        self.empty_out(endpoint)
        if endpoint.trial == event.request_id:
            endpoint.trial = -1
        endpoint.faults = 0
        self.setting_up -= 1
        self.count_setup(pending.klass.latency_objective_ns, event.elapsed_ns, False)
        if not pending.request.flags & (MID_FLOW | RETURNED | RETRY):
            self.slow_start.stands(self.now)

    def handle_attempt_ended(self, event: AttemptEnded) -> None:
        pending = self.pending.get(event.request_id)
        if pending is None or event.attempt != pending.attempt or pending.endpoint is None:
            return
        endpoint = pending.endpoint
        self.release(pending)
        if event.outcome == Outcome.RESET and pending.standing:
            self.returns.dropped(self.now)
        if event.outcome == Outcome.FULL or (event.outcome == Outcome.RESET and pending.standing):
            # Dropped connections would hash back to the jam that dropped them.
            self.strike(endpoint, overload=True)
        elif (
            event.outcome in (Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT) and not pending.standing
        ):
            self.strike(endpoint, overload=False)
            if event.outcome == Outcome.CONNECT_FAILED:
                self.handle_silence(endpoint)
        failed = event.outcome in (Outcome.ERROR, Outcome.TIMEOUT, Outcome.FULL, Outcome.RESET)
        if failed and not pending.standing:
            self.count_setup(pending.klass.latency_objective_ns, event.elapsed_ns, True)
        if event.closed or pending.standing:
            self.pending.pop(event.request_id)
            return
        if event.outcome == Outcome.ERROR:
            endpoint.faults += not pending.erred  # whether or not another endpoint serves the request
            pending.erred.append(endpoint)
            if endpoint.faults >= ERRORS_TOLD:
                self.strike(endpoint, overload=False)
        if sum(other.faults < ERRORS_TOLD for other in pending.erred) >= ERRORS_TOLD:
            self.finish(pending)
            self.out.append(Fail(event.request_id))
            return
        if event.outcome not in NEVER_RAN and pending.unsure is None:
            pending.unsure = endpoint
            pending.ran_at = self.now - event.elapsed_ns
        self.place(pending)

    def handle_withdrawn(self, event: RequestWithdrawn) -> None:
        if event.request_id in self.pending:
            self.finish(self.pending[event.request_id])
