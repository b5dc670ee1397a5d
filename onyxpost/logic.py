"""Every decision of an edge node: whether to let a req in, to which app server, when again, what peers hear.

How to call it: make one `Gateway` for each life of an edge node, then call `round(now, news, writer)` when
something came in. `news` holds (handler's name, fields...) in order of arrival; the handlers are `Gateway`'s
methods under "What comes in". Decisions go into `writer`; the types and its Protocol are in
`onyxpost/interface.py`. Times are milliseconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from zlib import crc32

from onyxpost.interface import Allowed, ColdRule, Effect, Frontend, Group, ListRow, Plan
from onyxpost.interface import Result, Standing, Writer

BEAT = 50.0  # ms between rounds of housekeeping
SPAN = 6000.0  # ms over which a server's answers count: enough of them to judge, yet quick to forget
MESSAGE_BYTES = 256  # the most that one peer message holds


class Ring:
    """Sums over the last `slots` buckets of `width` ms, each bucket used again in its turn."""

    def __init__(self, width: float, slots: int, lanes: int) -> None:
        self.width, self.slots, self.lanes, self.epoch = width, slots, lanes, 0
        self.rows = [[0.0] * lanes for _ in range(slots)]
        self.sums = [0.0] * lanes

    def turn(self, now: float) -> None:
        epoch = int(now // self.width)
        for old in range(max(self.epoch, epoch - self.slots) + 1, epoch + 1):
            row = self.rows[old % self.slots]
            for lane in range(self.lanes):
                self.sums[lane] -= row[lane]
                row[lane] = 0.0
        self.epoch = epoch

    def add(self, now: float, *amounts: float) -> None:
        self.turn(now)
        row = self.rows[self.epoch % self.slots]
        for lane, amount in enumerate(amounts):
            row[lane] += amount
            self.sums[lane] += amount

    def total(self, now: float, lane: int) -> float:
        self.turn(now)
        return self.sums[lane]


class Theta:
    """The chance of refusing a new req: an integral step a period, its gain scheduled by r."""

    PERIOD = 500.0
    MOST = 0.95
    FLOOR = 0.2  # least input coefficient: under it a step would grow without bound
    GAIN, STEP = 0.3, 0.1  # share of the gap to target that one period closes; most that it moves
    ALPHA = 0.01  # pace of the LMS fit

    def __init__(self, now: float, phase: float) -> None:
        self.theta, self.r = 0.0, 0.0
        self.next_at = now + self.PERIOD * (1.0 + phase)  # staggered: all loops see one slowdown
        self.done = Ring(self.PERIOD, 20, 1)
        self.arrivals = self.served = 0
        self.ratios: dict[Frontend, list[float]] = {}
        # Model (11) in ratios to its 0.02 s target; B a positive magnitude: more refusal, shorter response.
        self.fit = [[0.3464, 0.1313], [0.2527, 0.1187], [-0.0007 / 0.02, 0.0443 / 0.02]]
        self.past: list[tuple[float, float, float]] = []  # (ratio, r, theta) of the last two periods

    def answered(self, frontend: Frontend, response: float) -> None:
        self.ratios.setdefault(frontend, []).append(response / frontend.response_target)

    def period(self, now: float) -> None:
        self.next_at += self.PERIOD
        self.done.add(now, self.served)
        best = max(row[0] for row in self.done.rows)
        self.r = min(2.0, self.arrivals / best) if best else 0.0
        self.arrivals = self.served = 0
        if not self.ratios:
            self.past = []
            return
        ratio = max(sum(seen) / len(seen) for seen in self.ratios.values())
        self.ratios = {}
        self.learn(ratio)
        step = self.GAIN * (ratio - 1.0) / max(self.FLOOR, self.fit[2][0] + self.fit[2][1] * self.r)
        self.past = [*self.past[-1:], (ratio, self.r, self.theta)]
        self.theta = min(self.MOST, max(0.0, self.theta + min(self.STEP, max(-self.STEP, step))))

    def learn(self, ratio: float) -> None:
        if len(self.past) < 2 or self.past[0][2] == self.past[1][2]:
            return
        (t0, r0, _), (t1, r1, theta1) = self.past
        inputs = [(t1, r1), (t0, r0), (-theta1, r1)]
        guess = sum(x * (c[0] + c[1] * r) for (x, r), c in zip(inputs, self.fit, strict=True))
        error = min(1.0, max(-1.0, ratio - guess))
        for (x, r), c in zip(inputs, self.fit, strict=True):
            c[0] += self.ALPHA * error * x
            c[1] += self.ALPHA * error * x * r


class Heard:
    """What one peer has told of one customer: its count in its present life."""

    life, count, at, open, lately = "", 0, 0.0, 0, 0.0


class Customer:
    """One customer's store at this edge node, its part of a hard ceiling, and what peers have told of it."""

    AGE, FORGET = 3000.0, 20000.0  # ms after which what was heard no longer weighs, a full store is dropped
    DEBT = 1000.0  # ms of filling that the store may owe: heard counts weigh no longer
    TURN = 4  # most peers that are told in turn: a larger set has a keeper
    PRESSED = 0.5  # share of the burst that is gone when the keeper starts to tell

    def __init__(self, key: int, born: float, number: int, nodes: int, safe: float) -> None:
        self.key, self.seen, self.number, self.nodes, self.safe = key, born, number, nodes, safe
        self.part = 1.0  # of the quota that the own store fills with
        self.leases: dict[int, list[float]] = {}  # units left, end
        self.plan: Plan | None = None
        self.peers: list[int] = []
        self.keeper, self.about = -1, ""
        self.level, self.at, self.ceiling, self.share = 0.0, born, 0.0, 1.0
        self.count, self.told, self.turn, self.open = 0, 0, 0, 0
        self.heard: dict[int, Heard] = {}
        self.ranking: list[Srv] = []
        self.waiting: list[Req] = []  # for this node's part of the ceiling, in order of arrival

    def meet(self, now: float, plan: Plan, place: int, first: int, spread: int) -> None:
        self.seen = now
        if self.plan is not None:
            return
        self.plan, self.share = plan, 1.0 / max(1, spread)
        if self.safe:  # planners grant the rest; an earlier life may have spent this part
            self.part = self.share = self.share * self.safe
            return
        members = [(first + i) % self.nodes for i in range(min(spread, self.nodes))]  # peers may err
        self.peers = [p for p in members if p != self.number]
        if len(self.peers) > self.TURN and not plan.ceiling_rate:
            self.keeper = (first + self.key % spread) % self.nodes
        self.about = f"{place:x}:{first:x}:{spread:x}"
        # A new store holds one node's part, but all in a large set, where a part is less than a req and the
        # keeper soon puts it right; the ceiling starts empty, as an earlier life may have spent it.
        self.level += plan.burst * (self.share if self.keeper < 0 else 1.0)
        self.fill(now)

    def fill(self, now: float) -> None:
        if (plan := self.plan) is None:
            return
        past, self.at = (now - self.at) / 1000.0, now
        rate, burst = plan.rate * self.part, plan.burst * self.part
        self.level = min(burst, max(self.level, -rate * self.DEBT / 1000.0) + rate * past)
        full = plan.ceiling_burst * self.share
        self.ceiling = min(full, self.ceiling + plan.ceiling_rate * self.share * past)

    def has_room(self, now: float, units: int) -> bool:
        self.fill(now)
        if (plan := self.plan) is None or (plan.open_cap and self.all_out(now) >= plan.open_cap):
            return False
        if sum(left for left, ends in self.leases.values() if now < ends) >= units:
            return True
        return (not plan.rate or self.level >= units) and (not plan.ceiling_rate or self.ceiling >= units)

    def all_out(self, now: float, but: int = -1) -> int:
        return self.open + sum(h.open for p, h in self.heard.items() if p != but and now - h.at < self.AGE)

    def ease(self) -> float:
        """The chance to be let in while a large set runs short: all its nodes see the same room at once, and
        letting all in at any room they overshoot by what comes in before the keeper's next word."""
        short = self.PRESSED * self.plan.burst if self.plan and self.keeper >= 0 else 0.0
        return self.level / short if short else 1.0

    def wait(self, units: int) -> float:
        rate = self.plan.rate * self.part if self.plan else 0.0
        return max(0.0, (units - self.level) / rate * 1000.0) if rate else 0.0

    def ceiling_in(self, now: float, units: int) -> float | None:
        """ms until the own part of the ceiling holds the units for one more; None if more lacks."""
        self.fill(now)
        plan, ahead = self.plan, units + sum(req.units for req in self.waiting)
        if plan is None or not plan.ceiling_rate or self.level < ahead:
            return None
        if units > plan.ceiling_burst * self.share or (plan.open_cap and self.all_out(now) >= plan.open_cap):
            return None
        return max(0.0, (ahead - self.ceiling) / (plan.ceiling_rate * self.share) * 1000.0)

    def stale(self, now: float) -> bool:
        """Nothing is lost with it: its stores are full, as they are for one that has not been seen."""
        self.fill(now)
        p = self.plan
        full = p.ceiling_burst * self.share if p else 0.0
        below = p and p.rate and self.level < p.burst * self.part
        short = below or (p and p.ceiling_rate and self.ceiling < full)
        idle = not self.open and not self.leases and not self.waiting
        return not short and idle and now - self.seen > self.FORGET

    def draw(self, units: int, ceiling: int) -> None:
        self.level -= units
        self.count += units
        self.ceiling -= ceiling

    def take(self, now: float, units: int) -> list[tuple[int, int]]:
        """A req's units, from leases if they hold them all, else from the own store (0)."""
        good = {lease: held for lease, held in self.leases.items() if now < held[1]}
        if sum(left for left, _ in good.values()) < units:
            self.draw(units, units)
            return [(0, units)]
        self.count += units
        parts = []
        for lease, held in good.items():
            part = int(min(units, held[0]))
            held[0] -= part
            units -= part
            parts += [(lease, part)] if part else []
        return parts

    def hear(self, now: float, peer: int, life: str, count: int, out: int, new: int, gift: int) -> None:
        h = self.heard.setdefault(peer, Heard())
        # A cumulative count makes a lost or repeated message harmless; of the first one heard only what is
        # new counts, as the rest may have been drawn, and refilled, before this node's life.
        drawn = count - h.count if h.life == life else count if h.life else new
        self.seen = now
        self.fill(now)
        self.level -= new if drawn < 0 and count == new else drawn  # forgotten there, it counts from 0 again
        self.ceiling += gift
        h.life, h.count, h.at, h.open, h.lately = life, count, now, out, drawn

    def corrected(self, now: float, peer: int, gone: int, out: int) -> None:
        """The keeper tells what is gone of the burst by all it heard; what it has not heard comes on top."""
        h = self.heard.setdefault(peer, Heard())
        h.open, h.at, self.seen, self.at = out, now, now, now
        self.level = (self.plan.burst if self.plan else 0.0) - gone - (self.count - self.told)

    def news(self, now: float) -> list[tuple[int, str]]:
        """The count, for one peer in turn. In a large set what is told in turn comes long after its use, and
        totals pass the quota, so one peer keeps it: all tell it their counts, it tells all what is gone."""
        plan, new = self.plan, self.count - self.told
        if plan is None or not self.peers:
            self.told = self.count
            return []
        if self.keeper == self.number:
            self.told = self.count
            self.fill(now)
            gone = plan.burst - self.level
            if not (gone >= self.PRESSED * plan.burst > 0.0 or 2 * self.all_out(now) > plan.open_cap > 0):
                return []
            return [(p, f"{self.key:x}:{int(gone):x}:{self.all_out(now, p):x}") for p in self.peers]
        turn = self.turn % len(self.peers)
        peer = self.peers[turn] if self.keeper < 0 else self.keeper
        gift = self.gift(now, peer, new)
        if not new and not gift and not turn:
            return []
        self.turn = turn + 1 if self.keeper < 0 else 0
        if self.turn in (0, len(self.peers)):
            self.told = self.count
        return [(peer, f"{self.key:x}:{self.count:x}:{self.open:x}:{new:x}:{gift:x}:{self.about}")]

    def gift(self, now: float, peer: int, own: int) -> int:
        """Units of the ceiling for a peer with more of the traffic: taken off before the message goes."""
        plan, h = self.plan, self.heard.get(peer)
        if plan is None or not plan.ceiling_rate or h is None or h.lately <= own or now - h.at > self.AGE:
            return 0
        self.fill(now)
        spare = max(0, int(self.ceiling - plan.ceiling_burst * self.share / 2.0))
        self.ceiling -= spare
        return spare


class Srv:
    """One app server as this edge node has seen it."""

    def __init__(self, row: ListRow) -> None:
        self.id = row.server
        self.out: dict[Dispatch, None] = {}
        self.started = -1.0  # its first row counts as a start
        # The part of its interval still to wait while cold; a mean of 0: the usual holds.
        self.cold_part, self.mean, self.was = 0.0, 0.0, 1.0
        self.hash = crc32(row.server.encode())
        self.shown = 0.0  # when the last one was sent that it passed: then it did not drain

    def take(self, row: ListRow) -> None:
        self.hall, self.cell, self.standing, self.started = row.hall, row.cell, row.standing, row.started

    def forget(self) -> None:
        self.seen = Ring(SPAN / 12, 12, 3)  # answers, their response times, failures
        self.closed_until, self.strikes = 0.0, 0

    def place(self, group: Group) -> str | int:
        return self.hall if group is Group.HALL else self.cell if group is Group.CELL else 0

    def warmth(self, now: float, rule: ColdRule) -> float:
        """The share of its capacity that a server surely has by now."""
        if self.started <= 0.0 or now - self.started >= rule.warm_ms:
            return 1.0
        return max(rule.start_share, (now - self.started) / rule.warm_ms)


class Dispatch:
    def __init__(self, req: Req, srv: Srv, number: int, sent: float) -> None:
        self.req, self.srv, self.number, self.sent = req, srv, number, sent
        self.out, self.may_have_run = True, True


class Req:
    def __init__(self, rid: str, now: float, leaves: float, frontend: Frontend, cust: Customer, units: int):
        self.id, self.arrived, self.leaves, self.frontend = rid, now, leaves, frontend
        self.customer, self.units = cust, units
        self.due = min(leaves, now + frontend.response_target)
        self.began = now  # when it was let in
        self.dispatches: list[Dispatch] = []
        self.done = self.streaming = False

    def out(self) -> bool:
        return any(d.out for d in self.dispatches)

    def risky(self) -> Dispatch | None:  # the first that may have run
        return next((d for d in self.dispatches if d.may_have_run), None)


class Window:
    """Dispatches that may be out at once: past them all servers have enough (Little: out is rate times time).

    Covers surges, lost halls, slow dependencies; could harm where many answers are late by nature."""

    START = 8.0  # out at one server, by all edge nodes together
    PERIOD = 0.25  # of the shortest response target
    LATE = 0.4  # share of its response target after which an answer counts as late
    MANY = 0.3  # share of late answers that makes the window narrower
    CUT, WIDEN = 0.6, 1.08  # a period's factors; nothing sent before a cut counts towards the next

    def __init__(self, now: float, nodes: int, target: float) -> None:
        self.every = self.PERIOD * target
        self.least, self.room, self.most = 0.5 / nodes, self.START / nodes, 8.0 * self.START / nodes
        self.next_at, self.cut_at = now, 0.0
        self.seen = Ring(self.every, 4, 3)

    def full(self, srvs: list[Srv], out: int, share: float = 1.0) -> bool:
        # Those passed over give no room: a lost hall would else overdrive the servers left.
        return out >= share * max(2.0, self.room * sum(1 for s in srvs if not s.strikes))

    def late(self, d: Dispatch, waited: float) -> float:
        return float(d.sent >= self.cut_at and waited > self.LATE * d.req.frontend.response_target)

    def answered(self, now: float, d: Dispatch, waited: float) -> None:
        counts = float(d.sent >= self.cut_at)
        quick = counts * (waited < 0.5 * self.LATE * d.req.frontend.response_target)
        self.seen.add(now, counts, self.late(d, waited), quick)

    def period(self, now: float, out: list[Dispatch], crowded: bool) -> None:
        self.next_at = now + self.every
        overdue = sum(self.late(d, now - d.sent) for d in out if now < d.req.due)
        late, seen = overdue + self.seen.total(now, 1), overdue + self.seen.total(now, 0)
        # Beside many quick answers late ones are lost, or heavy: all servers are not slow.
        if late >= 2.0 and late > self.MANY * seen and late > self.seen.total(now, 2):
            self.room = max(self.least, self.room * self.CUT)
            self.cut_at = now
            self.seen = Ring(self.every, 4, 3)
        elif crowded:
            self.room = min(self.most, self.room * self.WIDEN)


class Gateway:
    MARGIN = 1.1  # a server has enough when its expected response is so many times the least
    COME_BACK = 0.03  # share of the response target after which one denied for lack of room may come again
    RESEND_SHARE = 0.2  # further dispatches for each arrival
    RESEND_MOST = 10.0
    FAILED_SHARE = 0.35  # a server failing more of its dispatches is passed over
    CLOSED = 1000.0  # ms for which a server is passed over at first; doubled each time up to CLOSED_MOST
    CLOSED_MOST = 8000.0
    ASSESS, GOSSIP = 100.0, 50.0  # ms between looks at all servers, between tellings
    INTAKE = 0.7  # share of what a peer takes in at which telling waits

    def __init__(
        self, now: float, *, seed: int, number: int, nodes: int, tick: float,
        frontends: list[Frontend], plans: list[Plan], cold_rule: ColdRule, allowed: Allowed, must_ask: bool,
    ) -> None:
        self.now, self.seed, self.drawn, self.born = now, seed, 0, now
        self.number, self.nodes, self.tick = number, nodes, tick
        self.frontends = {f.name: f for f in frontends}
        shortest = min(f.response_target for f in frontends)
        self.unseen = self.usual = shortest / 8.0  # a response time until one has been seen
        self.gap, self.assess_at = 1000.0, now
        self.plans, self.cold_rule, self.allowed, self.must_ask = plans, cold_rule, allowed, must_ask
        self.life = f"{crc32(f'{seed}/life'.encode()) & 0xFFFF:x}"
        self.servers: dict[str, Srv] = {}
        self.stale = False  # news may count as told that has not come
        self.ready: list[Srv] = []
        self.stirred: dict[Srv, None] = {}  # with something out, or seen of late: work goes by these
        self.fleet = Ring(SPAN / 12, 12, 3)  # answers, their response times, reqs to be sent
        self.reqs: dict[str, Req] = {}
        self.customers: dict[int, Customer] = {}
        self.changed: dict[Customer, None] = {}  # whose counts peers have yet to hear
        self.waiting: dict[Customer, None] = {}  # with reqs that wait for the ceiling
        self.theta = Theta(now, self.chance())
        self.mail, self.intake = Ring(250.0, 4, 1), self.INTAKE * allowed.peer_messages_per_s
        self.gossip_at, self.sweep_at = now + self.GOSSIP * self.chance(), now
        self.resends = self.RESEND_MOST
        self.awake, self.window = False, Window(now, nodes, shortest)
        self.writer: Writer

    def chance(self) -> float:
        self.drawn += 1
        return crc32(f"{self.seed}/{self.drawn}".encode()) / 2.0**32

    def round(self, now: float, news: Iterable[tuple[object, ...]], writer: Writer) -> None:
        self.now, self.writer = now, writer
        if not self.awake:
            self.awake = True
            writer.wake(BEAT, 0)
            if self.must_ask:
                writer.subscribe()
        for name, *fields in news:
            getattr(self, str(name))(*fields)

    # What comes in

    def listed(self, complete: bool, rows: list[ListRow]) -> None:
        self.stale = False
        for srv in self.servers.values() if complete else []:
            srv.standing = Standing.GONE  # but those named
        for row in rows:
            srv = self.servers[row.server] = self.servers.get(row.server) or Srv(row)
            if row.started != srv.started:  # a new process: what was seen of the old one is void
                srv.forget()
                srv.cold_part = self.chance()
            srv.take(row)
        self.servers = {s.id: s for s in self.servers.values() if s.standing is not Standing.GONE}
        self.ready = [s for s in self.servers.values() if s.standing is Standing.READY]
        for customer in self.customers.values():
            customer.ranking = []

    def list_failed(self) -> None:
        self.writer.subscribe()

    def list_stale(self) -> None:
        self.stale = True  # till the next list: any server may have been told to drain

    def arrived(
        self, rid: str, leaves: float, frontend: str, key: str, plan: str, units: int, spread: int, first: int
    ) -> None:
        self.theta.arrivals += 1
        self.resends = min(self.RESEND_MOST, self.resends + self.RESEND_SHARE)
        customer = self.customer(crc32(key.encode()))
        place = next(i for i, known in enumerate(self.plans) if known.name == plan)
        customer.meet(self.now, self.plans[place], place, int(first), int(spread))
        req = Req(rid, self.now, leaves, self.frontends[frontend], customer, units)
        room = not customer.waiting and customer.has_room(self.now, units)
        soon = None if room or self.allowed.safe_share else customer.ceiling_in(self.now, units)
        if soon is not None and self.now + soon <= self.latest(req):
            self.reqs[rid] = req
            customer.waiting.append(req)
            self.waiting[customer] = None
        elif not room or self.chance() > customer.ease():
            self.over_quota(req)
        else:
            self.let_in(req)

    def latest(self, req: Req) -> float:
        """When a req that waits can last be sent on and still be answered in good time."""
        return min(req.due - 2.0 * self.usual, (req.arrived + req.leaves) / 2.0)

    def over_quota(self, req: Req) -> None:
        if self.allowed.safe_share and (plan := req.customer.plan):
            self.writer.spend(req.customer.key, plan.name, req.units, 0)
        self.writer.deny(req.id, min(self.allowed.longest_retry_after, req.customer.wait(req.units)))

    def release(self, customer: Customer) -> None:
        """Those whose units are there now; one that could not be in time any more is denied at once."""
        while customer.waiting:
            req = customer.waiting[0]
            customer.fill(self.now)
            late = self.now > self.latest(req)
            if not req.done and not late and customer.ceiling < req.units:
                return
            del customer.waiting[0]
            if req.done:
                continue
            del self.reqs[req.id]
            if late or not customer.has_room(self.now, req.units):
                self.over_quota(req)
            else:
                self.let_in(req)
        del self.waiting[customer]

    def let_in(self, req: Req) -> None:
        customer, req.began = req.customer, self.now
        shed = self.theta.theta > 0.0 and self.chance() < self.theta.theta
        srv = None if shed else self.pick(req)
        if srv is None:
            if not shed:  # not answered in time either: left out of the mean, it would hide an overload
                self.theta.answered(req.frontend, req.leaves - self.now)
            self.deny(req)
            return
        self.reqs[req.id] = req
        for lease, part in customer.take(self.now, req.units):
            if self.allowed.safe_share and customer.plan:
                self.writer.spend(customer.key, customer.plan.name, part, lease)
        self.changed[customer] = None
        self.send(req, srv)

    def deny(self, req: Req) -> None:
        soon = min(self.allowed.longest_retry_after, self.COME_BACK * req.frontend.response_target)
        self.writer.deny(req.id, soon)

    def client_left(self, rid: str) -> None:
        if rid in self.reqs and not self.reqs[rid].done:
            self.close(self.reqs[rid])

    def stream_began(self, rid: str) -> None:
        if rid in self.reqs:
            self.reqs[rid].streaming = True

    def dispatch_ended(
        self, rid: str, number: int, result: Result, waited: float, settled: bool, actual: int
    ) -> None:
        req = self.reqs.get(rid)
        if req is None or number >= len(req.dispatches):
            return
        d = req.dispatches[number]
        d.out, d.may_have_run = False, d.may_have_run and not result.never_ran
        d.srv.out.pop(d, None)
        req.customer.open -= 1
        self.judge(d, result, waited)
        if result is Result.OK and not req.done:
            self.theta.served += 1
            self.theta.answered(req.frontend, self.now - req.began)
            if actual:
                req.customer.draw(int(actual) - req.units, 0)
                self.changed[req.customer] = None
        over = not req.out()
        if settled and not req.done:
            self.close(req)
        elif req.done and over:
            self.reqs.pop(rid, None)
        elif over and not req.streaming and not self.send_again(req):
            self.give_up(req)

    def granted(self, key: int, lease: int, units: int, ends: float) -> None:
        customer = self.customers.get(key)
        if customer is None or ends <= self.now:
            self.writer.unused(lease, units)
        else:
            customer.leases[lease] = [units, ends]

    def withdrawn(self, key: int, lease: int) -> None:
        customer = self.customers.get(key)
        left = customer.leases.pop(lease, [0.0])[0] if customer is not None else 0.0
        self.writer.unused(lease, int(left))

    def told(self, peer: int, body: str) -> None:
        """A malformed message is dropped whole."""
        try:
            life, *entries = body.split(" ")
            rows = [[int(field, 16) for field in entry.split(":")] for entry in entries]
            told = [(row, self.plans[row[5]]) for row in rows if len(row) == 8]
            if len(told) + sum(1 for row in rows if len(row) == 3) < len(rows):
                return
        except (ValueError, IndexError):
            return
        counts = not told
        for (key, count, out, new, gift, place, first, spread), plan in told:
            customer = self.customer(key)
            customer.meet(self.now, plan, place, first, spread)
            customer.hear(self.now, peer, life, count, out, new, gift)
            self.changed[customer] = None
            counts = counts or customer.keeper < 0
            if customer in self.waiting:
                self.release(customer)
        if counts:  # reports do not: a keeper that hears much must not fall silent
            self.mail.add(self.now, 1.0)
        for key, gone, out in (row for row in rows if len(row) == 3):
            self.customer(key).corrected(self.now, peer, gone, out)

    def woken(self, token: int) -> None:
        self.writer.wake(BEAT, 0)
        if self.now >= self.assess_at:
            self.assess_at = self.now + self.ASSESS
            self.assess()
        for customer in list(self.waiting):
            self.release(customer)
        t = self.theta
        if self.now >= self.window.next_at:
            out = [d for srv in self.stirred for d in srv.out]
            self.window.period(self.now, out, t.theta > 0.0 or self.window.full(self.ready, len(out), 0.5))
        if self.now >= t.next_at:
            before = t.theta
            t.period(self.now)
            if (before > 0.0) != (t.theta > 0.0):
                self.writer.log(f"shedding {'off' if before else 'on'} theta={t.theta:.2f} r={t.r:.2f}")
        if self.now >= self.gossip_at:
            self.gossip_at = self.now + self.GOSSIP
            self.tell_peers()

    # Choice of server

    def customer(self, key: int) -> Customer:
        if key not in self.customers:
            self.customers[key] = Customer(
                key, self.born, self.number, self.nodes, self.allowed.safe_share
            )
        return self.customers[key]

    def ranking(self, customer: Customer) -> list[Srv]:
        if not customer.ranking:
            # In a large set each node ranks for itself: all would send to one server, each seeing little.
            key = customer.key ^ (crc32(f"{self.number}".encode()) if customer.keeper >= 0 else 0)
            customer.ranking = sorted(self.ready, key=lambda s: (s.hash ^ key) * 2654435761 % 2**32)
        return customer.ranking

    def assess(self) -> None:
        """Mean response of servers lately used, once in a while: for each req, or all, it would cost dear."""
        now, n = self.now, self.fleet.total(self.now, 0)
        self.usual = self.fleet.total(now, 1) / n if n else self.unseen
        shares = [(s, s.warmth(now, self.cold_rule)) for s in self.ready]
        span = min(SPAN, max(self.ASSESS, now - self.born))
        self.gap = span * sum(w for _, w in shares) / max(1.0, self.fleet.total(now, 2))
        # Bit by bit: where half of the warm ones go the interval halves, and all nodes that had waited for
        # more than the new one would send at once.
        for s, warmth in shares:
            if warmth < 1.0:
                s.cold_part -= self.ASSESS * warmth / self.gap
        for s in list(self.stirred):
            # What is out longer than usual counts by its age: a slow server answers little, and late.
            ages = [now - d.sent for d in s.out if now - d.sent > self.usual]
            total = s.seen.total(now, 1)
            s.mean = (total + sum(ages) + 2.0 * self.usual) / (s.seen.total(now, 0) + len(ages) + 2.0)
            s.was = total / SPAN + 1.0
            if not s.out and not s.seen.total(now, 0) and not s.seen.total(now, 2):
                s.mean, s.was = 0.0, 1.0
                del self.stirred[s]

    def cold_room(self, srv: Srv) -> bool:
        """A cold server gets its sure share of all that is to be sent, each node's first at any time in its
        interval: all nodes' firsts at once would push it over."""
        return srv.cold_part <= 0.0 or srv.warmth(self.now, self.cold_rule) >= 1.0

    def surely_there(self, srv: Srv) -> bool:
        """With news missing: it took a req so lately that a drain since is within half of its grace."""
        return not self.stale or self.now - srv.shown < self.allowed.drain_grace / 2.0

    def pick(self, req: Req) -> Srv | None:
        ranking = self.ranking(req.customer)
        # What is out past its response target is lost or hung, or will be: it takes up no room.
        if self.window.full(ranking, sum(1 for s in self.stirred for d in s.out if self.now < d.req.due)):
            return None
        self.fleet.add(self.now, 0.0, 0.0, 1.0)
        able = [s for s in ranking if self.cold_room(s) and self.surely_there(s)]
        risky = req.risky()
        if risky is not None and req.frontend.effect is Effect.UNIQUED:
            able = [s for s in able if s.place(req.frontend.group) == risky.srv.place(req.frontend.group)]
        able = [s for s in able if all(d.srv is not s for d in req.dispatches)] or ([] if risky else able)
        # Not failing; one that failed is tried again with one dispatch at a time.
        fit = [s for s in able if not s.strikes or (self.now >= s.closed_until and not s.out)] or able
        # Cold servers whose turn it is go first: unknown, they would get nothing beside those known.
        cold = next((s for s in fit if not s.out and s.warmth(self.now, self.cold_rule) < 1.0), None)
        if cold is not None or not fit:
            return cold
        # Response time of one more req: the mean of late, scaled by what is out over what was (Little).
        ahead = [(s.mean or self.usual) * (len(s.out) + 1.0) / s.was for s in fit]
        enough = self.MARGIN * min(ahead)
        return next(s for s, response in zip(fit, ahead, strict=True) if response <= enough)

    def send(self, req: Req, srv: Srv) -> None:
        d = Dispatch(req, srv, len(req.dispatches), self.now)
        req.dispatches.append(d)
        srv.out[d] = None
        self.stirred[srv] = None
        req.customer.open += 1
        srv.cold_part = 1.0
        until = req.leaves - self.now
        if req.frontend.late_value <= 0.0:
            until = min(until, max(self.tick, req.due - self.now - 2.0 * self.tick - 2.0))
        self.writer.dispatch(req.id, srv.id, until)

    def send_again(self, req: Req) -> bool:
        """A further dispatch within the effect rules, the budget and what is still of use; only elsewhere."""
        f, risky = req.frontend, req.risky()
        fine = risky is None or f.effect is Effect.REPLAYABLE
        if f.effect is Effect.UNIQUED and risky is not None:
            fine = self.now < risky.sent + f.repeat_window * 0.95
        fine = fine and (f.late_value > 0.0 or self.now < req.due - self.usual / 2.0)
        fine = fine and self.resends >= 1.0 and len(req.dispatches) < self.allowed.dispatches
        srv = self.pick(req) if fine and self.now < req.leaves - 2.0 * self.tick else None
        if srv is not None:
            self.resends -= 1.0
            self.send(req, srv)
        return srv is not None

    def give_up(self, req: Req) -> None:
        f, risky = req.frontend, req.risky()
        self.theta.answered(f, req.leaves - req.arrived)  # it would not have been answered before
        self.close(req)
        harmless = f.effect is Effect.REPLAYABLE or (f.effect is Effect.UNIQUED and f.group is Group.ALL)
        if harmless or risky is None:
            self.deny(req)
        else:
            self.writer.abort(req.id)

    def close(self, req: Req) -> None:
        req.done = True
        for d in req.dispatches:
            if d.out and self.allowed.cancel and not req.streaming:
                self.writer.cancel(req.id, d.number)
        if not req.out():
            self.reqs.pop(req.id, None)

    # Health

    def judge(self, d: Dispatch, result: Result, waited: float) -> None:
        srv = d.srv
        if result in (Result.CANCELLED, Result.UNUSED, Result.FULL):
            return
        if result in (Result.OK, Result.EXPIRED):
            self.window.answered(self.now, d, waited)
            srv.seen.add(self.now, 1.0, waited)
            self.fleet.add(self.now, 1.0, waited)
            srv.shown = d.sent if result is Result.OK else srv.shown
            if result is Result.OK and srv.strikes and self.now >= srv.closed_until:
                srv.strikes -= 1
                if not srv.strikes:
                    srv.forget()
                    self.writer.log(f"server {srv.id} open again")
            return
        srv.seen.add(self.now, 0.0, 0.0, 1.0)
        failed, good = srv.seen.total(self.now, 2), srv.seen.total(self.now, 0)
        few = failed < 2 or failed <= self.FAILED_SHARE * (failed + good)
        # One lost answer says little; a connection that does not come up says that nobody is there.
        if srv.strikes or result is Result.NO_CONNECTION or not few:
            self.shut(srv, f"{result.label} failed={failed:.0f} good={good:.0f}")

    def shut(self, srv: Srv, why: str) -> None:
        """Pass a failing server over for a while; never more than half of the fleet."""
        shut = sum(1 for s in self.ready if s.strikes and s is not srv)
        if self.now < srv.closed_until or 2 * shut >= len(self.ready):
            return
        srv.closed_until = self.now + min(self.CLOSED_MOST, self.CLOSED * 2.0**srv.strikes)
        srv.strikes += 1
        self.writer.log(f"server {srv.id} passed over: {why}")

    # Peers

    def tell_peers(self) -> None:
        if self.now >= self.sweep_at:
            self.sweep_at = self.now + Customer.FORGET / 4
            self.customers = {k: c for k, c in self.customers.items() if not c.stale(self.now)}
        bodies: dict[int, str] = {}
        # What comes in here is what comes in elsewhere: near the most that peers take in, this node waits.
        quiet = self.allowed.peers and self.mail.total(self.now, 0) < self.intake
        for c in list(self.changed) if quiet else []:
            del self.changed[c]
            for peer, entry in c.news(self.now):
                if len(bodies.get(peer, "")) + 1 + len(entry) > MESSAGE_BYTES:
                    self.writer.tell(peer, bodies.pop(peer))
                bodies[peer] = f"{bodies.get(peer, self.life)} {entry}"
            if c.count != c.told:
                self.changed[c] = None
        for peer, body in bodies.items():
            self.writer.tell(peer, body)
