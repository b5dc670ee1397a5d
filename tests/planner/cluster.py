"""Planners and forwarders on the virtual clock, with an independent count of what all forwarders send."""

from __future__ import annotations

import asyncio
import io
from collections import Counter
from random import Random
from typing import TYPE_CHECKING

from onyxpost.config.address import Address
from onyxpost.core.events import (
    AttemptFinished,
    EndpointsUpdated,
    Event,
    LeaseGranted,
    LeaseRevoked,
    RequestArrived,
)
from onyxpost.core.options import GatewayOptions
from onyxpost.core.types import (
    AttemptResult,
    DeduplicationScope,
    EndpointState,
    EndpointStatus,
    Frontend,
    GatewayLimits,
    Idempotency,
    Plan,
    SlowStartPolicy,
)
from onyxpost.edge.messages import EdgeEvent, ReportUnitsSpent, ReturnLease
from onyxpost.forwarder.planner_client import PlannerClient
from onyxpost.planner.config import PlannerConfig
from onyxpost.planner.lease_terms import LeaseTerms
from onyxpost.planner.planner import Planner
from onyxpost.policy.gateway import Gateway
from onyxpost.runtime.structured_log import StructuredLog
from onyxpost.simulation import virtual_time
from onyxpost.simulation.invariants import HardLimitBucket
from onyxpost.simulation.virtual_time import EPOCH, Network

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

LEASE_TERMS = LeaseTerms(1000.0, 0.01)
SAFE_SHARE = 0.2
PORT = 7000
FRONTEND = Frontend(
    "f", 1000.0, 5000.0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0.0, 1.0, 0.0, 0.0, False
)
PLAN = Plan("p", 40.0, 60.0, 0, 1.0, 60.0, 80.0)


class ForwarderModel:
    """A gateway and its planner client; its one server answers at once, so that only limits decide."""

    def __init__(self, cluster: VirtualCluster, index: int) -> None:
        self.cluster = cluster
        self.index = index
        self.name = f"f{index}"
        self.incarnation = 0
        self.is_alive = False
        self.answers: Counter[str] = Counter()

    def start(self) -> None:
        cluster = self.cluster
        self.incarnation += 1
        self.is_alive = True
        self.request_count = 0
        net = cluster.net.host(f"{self.name}.{self.incarnation}")
        self.host = net.name
        self.clock = net.clock
        options = GatewayOptions(
            seed=self.incarnation,
            node_index=self.index,
            node_count=len(cluster.forwarders) or 1,
            tick_ms=1.0,
            frontends=[FRONTEND],
            plans=[cluster.plan],
            slow_start=SlowStartPolicy(1.0, 0.0, 1.0, 1.0),
            limits=GatewayLimits(2, True, True, False, 500.0, 0.0, SAFE_SHARE),
            polls_endpoints=False,
        )
        self.gateway = Gateway(net.clock(), options)
        self.client = PlannerClient(
            net, self.name, cluster.members(), cluster.membership_version, self.post, lambda log: None
        )
        self.client.start()
        self.handle(EndpointsUpdated(True, [EndpointStatus("s", "", 0, EndpointState.READY, 1.0, 0.0)]))

    def kill(self) -> None:
        self.is_alive = False
        self.client.close()
        self.cluster.net.kill_host(self.host)

    def restart(self) -> None:
        if self.is_alive:
            self.kill()
            self.start()

    def post(self, value: EdgeEvent) -> None:
        if isinstance(value, LeaseGranted):
            self.handle(LeaseGranted(*value))
        elif isinstance(value, LeaseRevoked):
            self.handle(LeaseRevoked(*value))

    def handle(self, *events: Event) -> None:
        self.gateway.handle(self.clock(), events, self)

    def request(self, customer: str, units: int) -> None:
        """One client request; it has its one final answer when this returns."""
        self.request_count += 1
        self.final = ""
        request_id = f"{self.incarnation}.{self.request_count}"
        spread = len(self.cluster.forwarders)
        deadline = self.clock() + 5000.0
        self.handle(RequestArrived(request_id, deadline, "f", customer, "p", units, spread, 0))
        if self.final == "sent":
            self.cluster.count_sent(self, customer, units)
            self.handle(AttemptFinished(request_id, 0, AttemptResult.OK, 1.0, True, 0))
            self.final = "passed"
        self.answers[self.final] += 1

    # The policy's writer

    def start_attempt(self, req: str, server: str, give_up_after: float, begin_before: float) -> None:
        self.final = "sent"

    def reject(self, req: str, retry_after: float) -> None:
        self.final += "denied"

    def abort(self, req: str) -> None:
        self.final += "aborted"

    def report_units_spent(self, customer: int, plan: str, units: int, lease: int) -> None:
        self.client.report_units_spent(ReportUnitsSpent(customer, plan, units, lease))

    def return_lease(self, lease: int, units: int) -> None:
        self.client.return_lease(ReturnLease(lease, units))

    def cancel_attempt(self, req: str, number: int) -> None: ...
    def send_peer_message(self, peer: int, body: str) -> None: ...
    def start_timer(self, after: float, token: int) -> None: ...
    def log(self, line: str) -> None: ...
    def watch_endpoints(self) -> None: ...


class VirtualCluster:
    """Forwarders and planners, and the true count of what all forwarders send on."""

    def __init__(self, seed: int, forwarders: int, planners: int, plan: Plan) -> None:
        self.net = Network(Random(f"{seed}/net"))
        self.plan = plan
        self.membership_version = 1
        self.planner_names = [f"p{index}" for index in range(planners)]
        self.planners: dict[str, Planner | None] = {}
        self.tasks: dict[str, asyncio.Task[int]] = {}
        self.planner_incarnations: Counter[str] = Counter()
        self.logs: dict[str, io.StringIO] = {}
        self.forwarders: list[ForwarderModel] = []
        self.forwarders += [ForwarderModel(self, index) for index in range(forwarders)]
        self.forwarder_names = tuple(forwarder.name for forwarder in self.forwarders)
        self.hard_limits: dict[str, HardLimitBucket] = {}
        self.violations: list[str] = []
        self.units_sent: Counter[str] = Counter()

    def members(self) -> dict[str, Address]:
        return {name: planner_address(name) for name in self.planner_names}

    def config(self, name: str) -> PlannerConfig:
        return PlannerConfig(
            name=name,
            listen=planner_address(name),
            membership_version=self.membership_version,
            planners=tuple(sorted(self.planner_names)),
            forwarders=self.forwarder_names,
            plans=(self.plan,),
            lease_terms=LEASE_TERMS,
            safe_share=SAFE_SHARE,
            log_level="info",
        )

    def planner(self, name: str) -> Planner:
        planner = self.planners[name]
        assert planner is not None
        return planner

    def planner_host(self, name: str) -> str:
        return f"{name}.{self.planner_incarnations[name]}"

    def start_planner(self, name: str) -> Planner:
        self.planner_incarnations[name] += 1
        net = self.net.host(self.planner_host(name))
        log = self.logs[name] = io.StringIO()
        epoch = f"{name}-{self.planner_incarnations[name]}"
        planner = Planner(
            self.config(name), StructuredLog(name, out=log), lambda: self.config(name), net, epoch
        )
        self.planners[name] = planner
        self.tasks[name] = asyncio.get_running_loop().create_task(planner.run())
        return planner

    def kill_planner(self, name: str) -> None:
        planner = self.planners[name]
        if planner is not None:
            self.tasks[name].cancel()
            planner.close()
            self.net.kill_host(self.planner_host(name))
            self.planners[name] = None

    def restart_all_planners(self) -> None:
        for name in self.planner_names:
            self.kill_planner(name)
            self.start_planner(name)

    def start(self) -> None:
        for name in self.planner_names:
            self.start_planner(name)
        for forwarder in self.forwarders:
            forwarder.start()

    def count_sent(self, forwarder: ForwarderModel, customer: str, units: int) -> None:
        now_ms = forwarder.clock() - EPOCH
        self.units_sent[customer] += units
        bucket = self.hard_limits.get(customer)
        if bucket is None:
            bucket = HardLimitBucket(now_ms, self.plan.hard_limit_rate, self.plan.hard_limit_burst, 1e-6)
            self.hard_limits[customer] = bucket
        if not bucket.consume(now_ms, units):
            self.violations.append(
                f"{now_ms:.0f} ms: {forwarder.name} passes {customer} by {-bucket.level:.2f}"
            )

    def stop(self) -> None:
        for forwarder in self.forwarders:
            if forwarder.is_alive:
                forwarder.kill()
        for name in list(self.planners):
            self.kill_planner(name)

    async def send_traffic(self, seconds: float, rate: float, rng: Random, customer: str = "c") -> None:
        """Sends `rate` requests a second to random forwarders."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            await asyncio.sleep(rng.expovariate(rate))
            forwarder = rng.choice(self.forwarders)
            if forwarder.is_alive:
                forwarder.request(customer, rng.randint(1, 3))


def planner_address(name: str) -> Address:
    return f"10.9.0.{name[1:]}", PORT


def run_cluster(
    scenario: Callable[[VirtualCluster], Awaitable[None]],
    forwarders: int = 6,
    planners: int = 3,
    plan: Plan = PLAN,
    seed: int = 1,
) -> VirtualCluster:
    """Runs a scenario with all planners and forwarders started, and returns the stopped cluster."""

    async def main() -> VirtualCluster:
        # Tasks of processes that are killed end with errors.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        cluster = VirtualCluster(seed, forwarders, planners, plan)
        cluster.start()
        await scenario(cluster)
        cluster.stop()
        return cluster

    return virtual_time.run(main())  # type: ignore[no-any-return]
