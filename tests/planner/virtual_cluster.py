"""A cluster of planners and forwarders on the virtual clock, which checks the hard limit independently."""

from __future__ import annotations

import asyncio
import io
from collections import Counter
from random import Random
from typing import TYPE_CHECKING

from onyxpost.core.types import Plan
from onyxpost.planner.config import PlannerConfig
from onyxpost.planner.lease_terms import LeaseTerms
from onyxpost.planner.planner import Planner
from onyxpost.runtime.structured_log import StructuredLog
from onyxpost.simulation import virtual_time
from onyxpost.simulation.invariants import HardLimitBucket
from onyxpost.simulation.virtual_time import START_UNIX_MS, Network
from tests.planner.forwarder_model import SAFE_SHARE, ForwarderModel

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from onyxpost.config.address import Address

LEASE_TERMS = LeaseTerms(1000.0, 0.01)
PORT = 7000
PLAN = Plan("p", 40.0, 60.0, 0, 1.0, 60.0, 80.0)


class VirtualCluster:
    """Forwarders and planners, and a count of the units that all forwarders send to app servers."""

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
        transport = self.net.host(self.planner_host(name))
        log = io.StringIO()
        self.logs[name] = log
        epoch = f"{name}-{self.planner_incarnations[name]}"
        planner = Planner(
            self.config(name), StructuredLog(name, out=log), lambda: self.config(name), transport, epoch
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
        now_ms = forwarder.clock() - START_UNIX_MS
        self.units_sent[customer] += units
        bucket = self.hard_limits.get(customer)
        if bucket is None:
            bucket = HardLimitBucket(now_ms, self.plan.hard_limit_rate, self.plan.hard_limit_burst, 1e-6)
            self.hard_limits[customer] = bucket
        if not bucket.consume(now_ms, units):
            self.violations.append(
                f"{now_ms:.0f} ms: {forwarder.name} exceeds {customer}'s hard limit by {-bucket.level:.2f}"
            )

    def stop(self) -> None:
        for forwarder in self.forwarders:
            if forwarder.is_alive:
                forwarder.kill()
        for name in list(self.planners):
            self.kill_planner(name)

    async def send_traffic(self, seconds: float, rate: float, rng: Random, customer: str = "c") -> None:
        """Sends `rate` requests per second, of 1 to 3 units each, to random forwarders."""
        loop = asyncio.get_running_loop()
        end_seconds = loop.time() + seconds
        while loop.time() < end_seconds:
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
        # Tasks of killed processes end with errors, which would be reported.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        cluster = VirtualCluster(seed, forwarders, planners, plan)
        cluster.start()
        await scenario(cluster)
        cluster.stop()
        return cluster

    return virtual_time.run(main())
