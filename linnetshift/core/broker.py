"""Requests, attempts and outcomes: what happens goes to the decision module, what it says is done.

The broker knows no wire and no socket. Fronts hand it invocations; providers tell it what became of
attempts. Everything that comes in waits in one inbox and is decided in one `step`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from itertools import count

from linnetshift import interface as api
from linnetshift.contracts import Contracts
from linnetshift.core.bans import MOST_KNOWN, MOST_OUT, Bans
from linnetshift.core.census import Held
from linnetshift.core.gauge import MessageGauge, Standing
from linnetshift.core.invocation import Attempt, Consumer, Invocation, Link
from linnetshift.core.learned import Learned
from linnetshift.core.ports import Directory, Providers, Timers
from linnetshift.interface import ListForm, Outcome
from linnetshift.policy import Balancer

# A connection that brings nothing back must be ended or moved within 7 s.
STALLED_NS = 4_000_000_000
# A sound provider answers a line at once, a jammed one too: one that owes an answer for so long, and from
# which nothing has come on any connection since, has vanished, and all of its consumers are moved.
SILENT_NS = 400_000_000
# The module's own answer comes by the deadline; this long after it the broker answers in its place.
OVERDUE_NS = 8_000_000
# Connections that were open before the run come back through us within 40 s of its start.
ADOPT_NS = 60_000_000_000
ADOPT_AGAIN_NS = 200_000_000


class Broker:
    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        clock: Callable[[], int],
        timers: Timers,
        directory: Directory,
        providers: Providers,
        contracts: Contracts,
    ) -> None:
        self.settings, self.contracts = settings, contracts
        self.balancer = Balancer(settings, seed)
        self.clock, self.timers, self.directory, self.providers = clock, timers, directory, providers
        self.started = clock()
        self.inbox: list[api.Event] = []
        self.invocations: dict[int, Invocation] = {}
        self.ids = count(1)
        self.zones: dict[bytes, int] = {}
        self.starts: dict[bytes, int] = {}
        self.gauge = MessageGauge()
        self.learned = Learned()
        self.moved = 0  # consumers told to move, ever
        self.bans = Bans(clock)
        self.configure(settings, contracts)

    def configure(self, settings: api.Settings, contracts: Contracts) -> None:
        """Also while running: what is known and under way stays."""
        self.settings = settings
        self.balancer.configure(settings)
        aim = min(c.message_aim_ns for c in settings.offered)
        self.gauge.configure(aim, settings.balancers, settings.weights_are_sizes)
        contracts.follow(self.contracts, Counter(i.tenant for i in self.invocations.values()))
        self.contracts = contracts

    def post(self, event: api.Event) -> None:
        if not self.inbox:
            self.timers.soon()
        self.inbox.append(event)

    def drain(self) -> None:
        events, self.inbox = self.inbox, []
        if not events:
            return
        # News of hosts goes first: what came in the same turn is not to be placed by an older list.
        events.sort(key=lambda event: type(event) is not api.HostList)
        for action in self.balancer.step(self.clock(), events):
            self.perform(action)

    def perform(self, action: api.Action) -> None:
        match action:
            case api.Send(request, host, timeout_ns):
                self.send(request, host, timeout_ns)
            case api.Refuse(request, retry_after_ns):
                self.reject(request, retry_after_ns)
            case api.Fail(request):
                self.fail(request)
            case api.Move(request):
                self.move(request, "moved")
            case api.Cancel(request, number):
                self.cancel(request, number)
            case api.SetTimer(delay_ns, token):
                self.timers.wake(delay_ns, token)
            case api.Watch(on):
                self.directory.watch(on)
            case api.FetchList():
                self.directory.fetch()
            case api.Probe(host):
                self.providers.probe(host)
            case _:
                pass  # there are no peers to tell, and the module's log lines are the bench's

    # ---- what comes in ----------------------------------------------------------------------

    def timer_fired(self, token: int) -> None:
        self.post(api.TimerFired(token))

    def listed(self, event: api.HostList) -> None:
        self.told(self.bans.lay_over(event))
        for name in self.bans.trim():
            self.gauge.forget(name)
            self.zones.pop(name, None)
            self.starts.pop(name, None)

    def take_out(self, provider: bytes) -> bool:
        """Send nothing new there until it is called back; whether it was ever listed and is out now."""
        if self.bans.full() and not self.bans.holds(provider):
            return False
        if self.bans.knows(provider) and not self.bans.holds(provider):
            self.bans.take_out(provider)
            self.told(self.bans.change(provider))
        return self.bans.knows(provider)

    def call_back(self, provider: bytes) -> bool:
        """Use it again at once; whether it was ever listed."""
        if self.bans.holds(provider):
            self.bans.call_back(provider)
            self.told(self.bans.change(provider))
        return self.bans.knows(provider)

    def told(self, event: api.HostList) -> None:
        if event.form in (ListForm.FULL, ListForm.CACHED):
            self.zones, self.gauge.weights = {}, {}
            named = {entry.host for entry in event.entries}
            self.starts = {host: at for host, at in self.starts.items() if host in named}
        for entry in event.entries:
            if self.starts.get(entry.host, entry.started_ns) != entry.started_ns:
                self.gauge.restarted(entry.host)
            self.starts[entry.host] = entry.started_ns
            self.zones[entry.host] = entry.zone
            if entry.weight > 0.0:
                self.gauge.weights[entry.host] = entry.weight
        self.learned.listed(event.entries, event.form in (ListForm.FULL, ListForm.CACHED), self.clock())
        self.post(event)

    def probed(self, provider: bytes, outcome: Outcome, elapsed_ns: int, report: tuple[float, ...]) -> None:
        if outcome == Outcome.OK and self.settings.report_columns:
            self.learned.reported(bool(report))
        self.post(api.ProbeResult(provider, outcome, elapsed_ns, report))

    def invoke(self, invocation: Invocation) -> None:
        """One final answer is owed from here on."""
        invocation.id, invocation.began = next(self.ids), self.clock()
        breach = self.contracts.admit(invocation.tenant, invocation.klass, invocation.flags, invocation.began)
        if breach is not None:
            invocation.release().reject(breach.wait_ns, breach.limit)
            return
        self.invocations[invocation.id] = invocation
        if invocation.adopt and invocation.began - self.started > ADOPT_NS:
            # Whoever still names a provider would choose it past the module, a draining one too.
            self.fail(invocation.id)
            return
        if invocation.adopt:
            self.adopt(invocation)
            return
        left = max(1, invocation.deadline - invocation.began)
        number = invocation.id  # the invocation itself would be held until then, answered or not
        invocation.overdue = self.timers.later(left + OVERDUE_NS, lambda: self.overdue(number))
        self.post(
            api.Request(
                invocation.id,
                invocation.klass,
                invocation.group,
                invocation.key,
                invocation.hint,
                invocation.flags,
                invocation.tenant,
                left,
            )
        )

    def overdue(self, request: int) -> None:
        """Whatever keeps the module from it, an answer is owed before the consumer gives up."""
        if (consumer := self.answer(request)) is not None:
            self.post(api.Withdrawn(request))
            consumer.fail()

    def up(self, attempt: Attempt, receipt: memoryview) -> None:
        """The provider serves: the final answer, and the start of the standing connection."""
        invocation, now = attempt.invocation, self.clock()
        attempt.standing = True
        invocation.settle()
        if invocation.flags & api.RETURNED:
            self.gauge.guest(True, now)
        if invocation.adopt:
            self.post(
                api.Adopted(
                    invocation.id,
                    invocation.klass,
                    invocation.group,
                    invocation.key,
                    invocation.hint,
                    invocation.flags,
                    invocation.tenant,
                    attempt.provider,
                )
            )
        else:
            self.post(api.Established(invocation.id, attempt.number, attempt.provider, now - attempt.began))
        invocation.consumer.up(receipt)

    def ended(self, attempt: Attempt, outcome: Outcome, reset: bool = False) -> None:
        """The link is closed: before the connection stood the module may try again, afterwards it is over."""
        invocation = attempt.invocation
        if invocation.out is not attempt:
            return
        invocation.part()
        if outcome not in api.NEVER_RAN:
            invocation.ran_at = invocation.ran_at or attempt.began
        if attempt.standing or invocation.answered:
            consumer = self.forget(invocation)
            if attempt.standing:
                if outcome == Outcome.RESET and self.bans.knows(attempt.provider):
                    self.gauge.dropped(attempt.provider, self.clock())
                if outcome != Outcome.OK:
                    self.gauge.guest(False, self.clock())
                if outcome == Outcome.CANCELLED:
                    self.learned.sent_away()
                consumer.provider_ended(outcome, reset)
        elif invocation.adopt:
            self.adopt_again(invocation, outcome)
            return
        self.tell_ended(attempt, outcome)

    def adopt_again(self, invocation: Invocation, outcome: Outcome) -> None:
        """Only one provider will do: while it cannot be reached, it is asked again."""
        if outcome not in api.NEVER_RAN or self.clock() + ADOPT_AGAIN_NS >= invocation.deadline:
            self.fail(invocation.id)
            return
        invocation.overdue = self.timers.later(ADOPT_AGAIN_NS, lambda: self.adopt(invocation))

    def adopt(self, invocation: Invocation) -> None:
        if self.bans.holds(invocation.adopt):  # this goes past the module, which would not send there
            self.fail(invocation.id)
        elif not invocation.answered:
            self.open(invocation, invocation.adopt, invocation.deadline)

    def tell_ended(self, attempt: Attempt, outcome: int) -> None:
        elapsed = self.clock() - attempt.began
        invocation = attempt.invocation
        self.post(
            api.AttemptEnded(
                invocation.id, attempt.number, attempt.provider, invocation.answered, elapsed, outcome, ()
            )
        )

    def consumer_ended(self, invocation: Invocation, reset: bool) -> None:
        """The consumer left, or has been sent away."""
        if invocation.id not in self.invocations:
            return
        attempt, waiting = invocation.out, not invocation.answered
        link = invocation.part()
        self.forget(invocation)
        if waiting and not invocation.adopt:
            self.post(api.Withdrawn(invocation.id))
        if attempt is None:
            return
        if link is not None:
            if attempt.standing:
                link.consumer_ended(reset)
            else:
                link.abandon()
        if attempt.standing or not invocation.adopt:
            self.tell_ended(attempt, attempt.verdict)

    def answered_in(self, attempt: Attempt, elapsed_ns: int) -> None:
        """A provider's reply to a consumer's message came after so long."""
        if not self.bans.knows(attempt.provider):
            return  # trimmed: nothing is kept under its name any more
        zone = self.zones.get(attempt.provider)
        far = zone if zone != self.settings.zone else None
        self.gauge.answered(attempt.provider, far, elapsed_ns, self.clock())

    def load_told(self, attempt: Attempt, load: float) -> None:
        """The connection's load, or the time that messages take at the provider: the figure tells which."""
        provider = attempt.provider
        if not self.bans.knows(provider):
            return  # trimmed: nothing is kept under its name any more
        if self.settings.tells_delay and self.gauge.tells_time(provider, load, self.clock()):
            self.learned.found("message-times", "told")
            self.note(attempt, api.SLOW_NOTE, load)
            return
        attempt.load = load
        self.note(attempt, api.LOAD_NOTE, load)

    def linked(self) -> dict[bytes, list[tuple[Attempt, Link]]]:
        """What stands, by provider."""
        held: dict[bytes, list[tuple[Attempt, Link]]] = {}
        for invocation in self.standing():
            attempt = invocation.out
            if attempt is not None and attempt.link is not None:
                held.setdefault(attempt.provider, []).append((attempt, attempt.link))
        return held

    def review_silence(self) -> None:
        """Some times a second: a machine that vanished neither answers nor resets."""
        for held in self.linked().values():
            quiet = min(link.quiet_ns() for _, link in held)
            longest = max(link.waiting_ns() for _, link in held)
            vanished = longest > SILENT_NS and quiet >= longest
            for attempt, link in held:
                if attempt.verdict == Outcome.CANCELLED and (vanished or link.waiting_ns() > STALLED_NS):
                    attempt.verdict = Outcome.RESET
                    self.move(attempt.invocation.id, "silent")

    def review_messages(self) -> None:
        """Once a second: note the providers whose messages are slow, each on one connection."""
        linked = self.linked()
        self.learned.review(linked.keys(), self.clock())
        if self.settings.tells_delay:
            first = {provider: held[0][0] for provider, held in linked.items()}
            for provider, ms in self.gauge.review(self.loads(), self.clock()):
                self.note(first[provider], api.SLOW_NOTE, ms)

    def loads(self) -> dict[bytes, list[Standing]]:
        """What stands asks of each provider."""
        return {
            provider: [
                Standing(attempt.load, attempt.invocation.group, link.waiting_ns()) for attempt, link in held
            ]
            for provider, held in self.linked().items()
        }

    def note(self, attempt: Attempt, kind: int, value: float) -> None:
        self.post(api.Note(attempt.invocation.id, attempt.number, attempt.provider, kind, value))

    # ---- what the module says ---------------------------------------------------------------

    def send(self, request: int, provider: bytes, timeout_ns: int) -> None:
        invocation = self.invocations.get(request)
        if invocation is None or invocation.answered or invocation.out is not None:
            # Withdrawn in the meantime. Two attempts of one request must never be out together.
            number = 0 if invocation is None else invocation.attempts
            self.post(api.AttemptEnded(request, number, provider, True, 0, Outcome.MOOT, ()))
            return
        if not invocation.consumer.present:  # its end is about to be read
            self.post(api.AttemptEnded(request, invocation.attempts, provider, True, 0, Outcome.MOOT, ()))
            return
        left = invocation.deadline - self.clock()
        within = min(timeout_ns, left) if timeout_ns > 0 else left
        self.open(invocation, provider, self.clock() + within)

    def open(self, invocation: Invocation, provider: bytes, deadline: int) -> None:
        attempt = Attempt(invocation, invocation.attempts, provider, self.clock(), deadline)
        invocation.attempts += 1
        invocation.out = attempt
        self.providers.open(attempt)

    def may_send(self, attempt: Attempt) -> bool:
        """Whether the attempt's line may go out now. Asked at that instant, and by whoever sends.

        Its connection took a while to come up, since the module decided: meanwhile the list may have told
        that the provider leaves, operators may have taken it out, the consumer may have left, its time or the
        time for repeats may be over.
        """
        invocation, provider, now = attempt.invocation, attempt.provider, self.clock()
        if invocation.out is not attempt or invocation.answered or not invocation.consumer.present:
            return False
        if self.bans.holds(provider) or not (invocation.adopt or self.bans.ready(provider)):
            return False
        klass, first = self.settings.classes[invocation.klass], invocation.ran_at
        return now < attempt.deadline and (not first or klass.may_run_again(first, now))

    def harmless(self, invocation: Invocation) -> bool:
        """Whether the consumer may be told that coming again is harmless."""
        out = invocation.out
        first = invocation.ran_at or (out.began if out is not None and out.sent else 0)
        klass, again_by = (
            self.settings.classes[invocation.klass],
            self.clock() + self.settings.max_retry_after_ns,
        )
        return not first or klass.may_come_again(first, again_by)

    def dismiss(self, invocation: Invocation) -> None:
        """Answer it now, past the module: rejected where coming again is harmless, else failed."""
        if self.harmless(invocation):
            self.reject(invocation.id)
        else:
            self.fail(invocation.id)

    def reject(self, request: int, retry_after_ns: int = 0) -> None:
        if (consumer := self.answer(request)) is not None:
            consumer.reject(retry_after_ns, "")

    def fail(self, request: int) -> None:
        if (consumer := self.answer(request)) is not None:
            consumer.fail()

    def answer(self, request: int) -> Consumer | None:
        """The consumer to give its one final answer, unless it has had it."""
        invocation = self.invocations.get(request)
        if invocation is None or invocation.answered:
            return None
        attempt, link = invocation.out, invocation.part()
        consumer = self.forget(invocation)
        if link is not None:
            link.abandon()
        if attempt is not None:
            self.tell_ended(attempt, Outcome.CANCELLED)
        return consumer

    def cancel(self, request: int, number: int) -> None:
        invocation = self.invocations.get(request)
        attempt = invocation.out if invocation is not None else None
        if attempt is None or attempt.number != number or attempt.standing:
            return
        if attempt.link is not None:
            attempt.link.abandon()
        self.ended(attempt, Outcome.CANCELLED)

    def move(self, request: int, reason: str) -> None:
        invocation = self.invocations.get(request)
        if invocation is not None and invocation.out is not None and invocation.out.standing:
            self.gauge.guest(False, self.clock())
            self.moved += 1
            invocation.consumer.move(reason)

    def forget(self, invocation: Invocation) -> Consumer:
        """It is over; its consumer, which it holds no longer."""
        if self.invocations.pop(invocation.id, None) is not None:
            self.contracts.release(invocation.tenant)
        return invocation.release()

    def held(self, connections: int) -> dict[str, Held]:
        """What is held; `connections` is the most that may be open or waiting at once."""
        names, balancer = MOST_KNOWN + MOST_OUT, self.balancer
        return {
            "broker.invocations": Held(len(self.invocations), connections),
            "broker.inbox": Held(len(self.inbox), 8 * connections + names),
            "broker.zones": Held(len(self.zones), names),
            "broker.starts": Held(len(self.starts), names),
            "module.hosts": Held(len(balancer.hosts), names),
            "module.hung": Held(len(balancer.hung), names),
            "module.pending": Held(len(balancer.pending), connections),
            "module.held": Held(len(balancer.held), connections),
            "settings.classes": Held(
                len(self.settings.classes), connections + 2 * len(self.settings.offered)
            ),
            **self.bans.held(),
            **self.gauge.held(names),
            **self.learned.held(names),
        }

    # ---- leaving ----------------------------------------------------------------------------

    def standing(self) -> list[Invocation]:
        return [i for i in self.invocations.values() if i.out is not None and i.out.standing]

    def unanswered(self) -> list[Invocation]:
        return [i for i in self.invocations.values() if not i.answered]


__all__ = ["Attempt", "Broker", "Consumer", "Invocation"]
