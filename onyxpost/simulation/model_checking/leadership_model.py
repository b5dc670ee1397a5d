"""A model of leader election for one role: acceptors, candidates, a fenced resource, messages in flight.

Messages arrive in any order, late, twice or never. Clocks run at the highest and the lowest rate that the
drift permits. Acceptors restart without state. `explorer` explores the model, and tests run random sequences
of its actions.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, assert_never

from onyxpost.leadership import protocol
from onyxpost.leadership.acceptor import Acceptor
from onyxpost.leadership.acceptor_set import AcceptorSet
from onyxpost.leadership.ballots import NodeIdentity
from onyxpost.leadership.effects import Effect, LeadershipAcquired, RecordCommitted, SendMessage
from onyxpost.leadership.errors import NotLeaderError
from onyxpost.leadership.participant import Participant, RoleSettings
from onyxpost.leadership.role_lease_timing import RoleLeaseTiming
from onyxpost.simulation.model_checking.actions import (
    Action,
    CallResource,
    DeliverCall,
    DeliverDuplicate,
    DeliverMessage,
    DeliverReplies,
    DeliverRequests,
    Delivery,
    Exchange,
    ExchangeAmongAcceptors,
    RestartAcceptor,
    Tick,
    WriteRecord,
)
from onyxpost.simulation.model_checking.history import LeadershipHistory
from onyxpost.simulation.model_checking.messages import (
    RESOURCE,
    MessageInFlight,
    add_message,
    single_deliveries,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

ROLE = "d"
EPOCH_MS = 1_000_000.0  # time of all clocks at the start
TIMING = RoleLeaseTiming(lease_ms=800.0, drift=0.1, skew_ms=40.0)
MAX_DELIVERIES = 200  # messages delivered in one exchange


class LeadershipModel:
    """The state of the model. Subclasses replace the classes of its nodes by ones with mutations.

    Attributes:
        now_ms: Time since the start, by a clock without drift.
        clock_rates: Rate of each node's clock, by name; 1 without drift.
        in_flight: Messages in flight, sorted and without duplicates.
        acceptors: The acceptors by name.
        participants: The candidates by name, the leader among them.
        restarts_left: Number of restarts of acceptors that are still possible.
        history: The events so far and the violation, if there is one.
    """

    acceptor_type: type[Acceptor] = Acceptor
    participant_type: type[Participant] = Participant
    checks_fencing_tokens = True
    tick_durations_ms = (TIMING.renew_interval_ms, TIMING.acceptor_lease_ms)

    def __init__(
        self, acceptors: int = 3, candidates: int = 2, restarts: int = 2, timing: RoleLeaseTiming = TIMING
    ) -> None:
        acceptor_names = tuple(f"v{index}" for index in range(acceptors))
        candidate_names = tuple(f"c{index}" for index in range(candidates))
        self.now_ms = 0.0
        self.timing = timing
        self.restarts_left = restarts
        self.acceptor_set = AcceptorSet(1, acceptor_names)
        self.clock_rates = {name: 1.0 + timing.drift for name in acceptor_names}
        for index, name in enumerate(candidate_names):
            self.clock_rates[name] = 1.0 - timing.drift if index % 2 == 0 else 1.0
        self.in_flight: list[MessageInFlight] = []
        self.acceptors = {name: self.create_acceptor(name) for name in acceptor_names}
        self.role_settings = RoleSettings(ROLE, timing, candidate_names)
        self.participants = {name: self.create_participant(name) for name in candidate_names}
        self.history = LeadershipHistory()

    def create_acceptor(self, name: str) -> Acceptor:
        """Returns an acceptor without state."""
        return self.acceptor_type(self.clock_ms(name), name, ROLE, self.timing, self.acceptor_set)

    def create_participant(self, name: str) -> Participant:
        """Returns a candidate without state."""
        identity = NodeIdentity(name, 1)
        return self.participant_type(self.clock_ms(name), identity, self.role_settings, self.acceptor_set)

    def clock_ms(self, name: str) -> float:
        """Returns the time of a node's clock."""
        return EPOCH_MS + self.now_ms * self.clock_rates[name]

    def fencing_token(self, name: str) -> int | None:
        """Returns the fencing token of a candidate; None unless it leads by its own clock."""
        return self.participants[name].fencing_token(self.clock_ms(name))

    # The interface `Model` of the explorer

    def actions(self) -> list[Action]:
        """Returns the actions that are possible in this state, in a fixed order."""
        possible: list[Action] = [Tick(duration_ms) for duration_ms in self.tick_durations_ms]
        possible += single_deliveries(self.in_flight)
        for name in self.participants:
            if any(message.involves(name) for message in self.in_flight):
                possible += [Exchange(name, unreachable) for unreachable in ("", *self.acceptors)]
                possible += [DeliverRequests(name), DeliverReplies(name)]
            if self.fencing_token(name) is not None:
                possible += [WriteRecord(name), CallResource(name)]
        if self.restarts_left:
            possible += [RestartAcceptor(name) for name in self.acceptors]
        return possible

    def apply(self, action: Action) -> None:
        """Changes the state by one action."""
        match action:
            case Tick(duration_ms):
                self.tick(duration_ms)
            case RestartAcceptor(name):
                self.restart_acceptor(name)
            case WriteRecord(name):
                self.write_record(name)
            case CallResource(name):
                self.call_resource(name)
            case _:
                self._apply_delivery(action)

    def shared_values(self) -> tuple[object, ...]:
        """Returns the values that no action changes, which all copies of the state share."""
        return self.timing, self.acceptor_set, self.role_settings

    def violation(self) -> str | None:
        """Returns the violation in the history or, if candidates hold the lease together, one by them."""
        if self.history.violation is None:
            leaders = [name for name in self.participants if self.fencing_token(name) is not None]
            if len(leaders) > 1:
                self.history.violation = f"{' and '.join(leaders)} both hold the lease"
        return self.history.violation

    # Actions

    def tick(self, duration_ms: float) -> None:
        """Advances the time and runs all timers.

        The messages between acceptors are delivered before the candidates' timers run.
        """
        self.now_ms += duration_ms
        for name, acceptor in self.acceptors.items():
            self.run_effects(name, acceptor.tick(self.clock_ms(name)))
        self._apply_delivery(ExchangeAmongAcceptors())
        for name, participant in self.participants.items():
            self.run_effects(name, participant.tick(self.clock_ms(name)))

    def restart_acceptor(self, name: str) -> None:
        """Restarts an acceptor without state; the record may be lost unless a majority still has state."""
        self.restarts_left -= 1
        self.acceptors[name] = self.create_acceptor(name)
        voting_acceptors = sum(acceptor.is_voting for acceptor in self.acceptors.values())
        if voting_acceptors < self.acceptor_set.majority:
            self.history.record_state_lost()

    def write_record(self, name: str) -> None:
        """Makes a candidate write a new record, if it is the leader."""
        participant = self.participants[name]
        body = b"%s %d" % (name.encode(), len(self.history.written))
        try:
            effects = participant.write(self.clock_ms(name), body)
        except NotLeaderError:
            return
        leader = participant.leader
        assert leader is not None
        self.history.record_write(leader.fencing_token, leader.record.sequence, body)
        self.run_effects(name, effects)

    def call_resource(self, name: str) -> None:
        """Makes a candidate send its fencing token to the resource, if it is the leader."""
        fencing_token = self.fencing_token(name)
        if fencing_token is not None:
            self.send(MessageInFlight(name, RESOURCE, str(fencing_token).encode()))

    # Effects and messages

    def run_effects(self, name: str, effects: Sequence[Effect]) -> None:
        """Runs the effects that the node `name` returned."""
        for effect in effects:
            match effect:
                case SendMessage():
                    body = protocol.encode(effect.message)
                    self.send(MessageInFlight(name, effect.recipient, body))
                case LeadershipAcquired():
                    self.history.record_lease(effect)
                case RecordCommitted():
                    self.history.record_commit(effect)

    def send(self, message: MessageInFlight) -> None:
        """Puts a message in flight, unless an equal one is; above the limit, one message is lost."""
        add_message(self.in_flight, message, lost_index=len(self.history.written))

    def deliver(self, message: MessageInFlight) -> None:
        """Passes a message to its recipient; the caller removes it from the messages in flight."""
        if message.recipient == RESOURCE:
            self.history.record_call(int(message.body), checks_tokens=self.checks_fencing_tokens)
            return
        recipient = self.acceptors.get(message.recipient) or self.participants[message.recipient]
        now_ms = self.clock_ms(message.recipient)
        effects = recipient.handle(now_ms, message.sender, protocol.decode(message.body))
        self.run_effects(message.recipient, effects)

    def _apply_delivery(self, action: Delivery) -> None:
        match action:
            case DeliverMessage(index) | DeliverCall(index):
                self.deliver(self.in_flight.pop(index))
            case DeliverDuplicate(index):
                self.deliver(self.in_flight[index])
            case Exchange(candidate, unreachable):
                self._exchange(
                    lambda message: message.involves(candidate) and not message.involves(unreachable)
                )
            case ExchangeAmongAcceptors():
                self._exchange(
                    lambda message: message.sender in self.acceptors and message.recipient in self.acceptors
                )
            case DeliverRequests(candidate):
                self._deliver_all([message for message in self.in_flight if message.sender == candidate])
            case DeliverReplies(candidate):
                self._deliver_all([message for message in self.in_flight if message.recipient == candidate])
            case _:
                assert_never(action)

    def _deliver_all(self, messages: list[MessageInFlight]) -> None:
        for message in messages:
            self.in_flight.remove(message)
            self.deliver(message)

    def _exchange(self, is_delivered: Callable[[MessageInFlight], bool]) -> None:
        """Delivers the selected messages, and selected ones sent in response, until none is in flight."""
        for _ in range(MAX_DELIVERIES):
            message = next(
                (each for each in self.in_flight if each.recipient != RESOURCE and is_delivered(each)), None
            )
            if message is None:
                return
            self._deliver_all([message])
