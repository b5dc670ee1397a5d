"""A planner with a plan without a quota; two of three edge nodes are killed at once and start again."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

import standins2 as s2  # noqa: E402

RATE, BURST = 20.0, 60.0  # the quota of `fleet`
PLANS = [
    {"name": "fleet", "refill": RATE, "depth": BURST, "cap_rate": 30.0, "ceiling_burst": 80.0},
    {"name": "internal", "refill": 0.0, "depth": 0.0, "open": 50},  # 0: no such quota
]
DOWN_SECONDS = 1.0
SETTLE_SECONDS = 8.0  # four durations of a lease
MEASURED_SECONDS = 12.0
MOST_REFUSED_SHARE = 0.04


async def case(record: s2.Record, folder: Path, has_trouble: bool) -> int:
    tier = s2.Tier(PLANS, folder, record)
    quota = s2.Quota(RATE, BURST)
    counts = {"asked in quota": 0, "refused in quota": 0, "unanswered or failed": 0}
    measured = [float("inf"), float("inf")]

    async def ask(index: int, end_at: list[float]) -> None:
        """Asks four times a second through one edge node, one unit each: 12 a second with all three."""
        client = s2.Client(tier.nodes[index].port, record)
        request = s2.Request("tag-check", "fleet", 5, 1, 2000, spread=tier.SIZE)
        while s2.now() < end_at[1]:
            has_room = quota.holds(1, s2.now())
            answer = await client.ask(request)
            if answer.status == 200:
                quota.draw(1)
            if measured[0] <= answer.sent_at <= measured[1]:
                counts["asked in quota"] += has_room
                counts["refused in quota"] += has_room and answer.status in (429, 503)
                counts["unanswered or failed"] += answer.status not in (200, 429, 503)
            await asyncio.sleep(0.25)
        client.close()

    try:
        await tier.start()
        tasks = [asyncio.create_task(ask(index, measured)) for index in range(tier.SIZE)]
        internal = s2.Client(tier.nodes[0].port, record)
        for _ in range(4):
            await internal.ask(s2.Request("tag-check", "internal", 9, 1, 2000, spread=tier.SIZE))
            await asyncio.sleep(0.5)
        internal.close()
        await asyncio.sleep(6.0)
        if has_trouble:
            await asyncio.gather(*(node.kill() for node in tier.nodes[1:]))
            await asyncio.sleep(DOWN_SECONDS)
            for node in tier.nodes[1:]:
                node.fields["seed"] = s2.os.urandom(8).hex()
            await asyncio.gather(*(node.start() for node in tier.nodes[1:]))
        await asyncio.sleep(SETTLE_SECONDS)
        measured[:] = [s2.now(), s2.now() + MEASURED_SECONDS]
        record.write("measured from here on")
        await asyncio.gather(*tasks)
        logs = [tier.planner.log.read_text(), *(node.log.read_text() for node in tier.nodes)]
    finally:
        await tier.stop()
    record.write("counted:", counts)
    for log in logs:
        for line in log.splitlines()[:60]:
            record.write("log", line)
    if counts["asked in quota"] < 60:
        raise s2.CannotRunError("too few requests within the quota")
    refused_share = counts["refused in quota"] / counts["asked in quota"]
    record.write(f"refused while the quota has room: {refused_share:.3f}")
    return s2.BROKEN if refused_share >= MOST_REFUSED_SHARE else s2.HELD


if __name__ == "__main__":
    sys.exit(s2.run_case(FOLDER, case))
