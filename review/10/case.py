"""A one-off customer has the CRC-32 of another customer, whose ceiling is not kept any more."""

from __future__ import annotations

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path
from time import monotonic
from typing import Any
from zlib import crc32

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

import standins3 as lib  # noqa: E402

NODES = 3
PRESS_S = 20.0  # how long the customer under a ceiling asks for 12 units a second, 4 times its quota
EVERY_S = 1.0
UNITS = 4
ENTREPRISE = {"name": "entreprise", "refill": 15.0, "depth": 25.0}
PRO = {"name": "pro", "refill": 3.0, "depth": 12.0, "cap_rate": 6.0, "ceiling_burst": 24.0, "cap_slack": 8.0}
SLACK = 8.0 + 0.15 * 6.0  # the settings' slack, and what the ceiling's rate gives in 150 ms (PROTOCOL.md)
GRADES = [
    {
        "name": "font-subset",
        "aim_us": 1_200_000,
        "deadline_us": 4_000_000,
        "effect": "retryable",
        "late_value": 0.2,
    }
]


def customers_with_one_checksum() -> tuple[int, int]:
    """Returns two keys below 2^33 whose hexadecimal forms have the same CRC-32, drawn by a fixed seed."""
    rng = random.Random(49)
    seen: dict[int, int] = {}
    while True:
        key = rng.randrange(2**33)
        other = seen.setdefault(crc32(b"%x" % key), key)
        if other != key:
            return other, key


class Ceiling:
    """The ceiling of WIRE.md: full at first, filled at its rate, drawn by each request that arrives."""

    def __init__(self) -> None:
        self.units = self.lowest = float(PRO["ceiling_burst"])
        self.at = monotonic()

    def draw(self, units: float) -> None:
        """Draws units now."""
        now = monotonic()
        self.units = (
            min(float(PRO["ceiling_burst"]), self.units + float(PRO["cap_rate"]) * (now - self.at)) - units
        )
        self.at, self.lowest = now, min(self.lowest, self.units)


class CountingServer(lib.AppServer):
    """An app server that draws the units of the pressing customer's requests from the ceiling."""

    ceiling: Ceiling

    async def answer(self, first: str, headers: dict[str, str], body: bytes) -> bytes:
        if headers.get("x-trace-id", "").startswith("pro-"):
            self.ceiling.draw(UNITS)
        return await super().answer(first, headers, body)


async def work(folder: Path, processes: list[Any]) -> int:
    """Plays the case; returns 1 if the rule was broken."""
    one_off, pressing = customers_with_one_checksum()
    servers, discovery = await lib.start_app_servers(RECORD, CountingServer)
    configs = lib.node_configs(NODES, servers, discovery, [ENTREPRISE, PRO], GRADES)
    nodes = await lib.start_nodes(folder, configs, processes)
    clients = [lib.Clients(node, RECORD) for node in nodes]
    await asyncio.sleep(6.0)  # the edge nodes' parts of the ceiling fill
    if lib.trouble_is_on():
        RECORD.say(f"customer {one_off:x} sends its only request")
        await clients[0].send("once", "font-subset", "entreprise", one_off, 3000, (1, NODES, 0))
        await asyncio.sleep(1.0)
    CountingServer.ceiling = ceiling = Ceiling()
    sent: list[asyncio.Task[str]] = []
    started = monotonic()
    while monotonic() - started < PRESS_S:
        for client in clients:
            request = client.send(f"pro-{len(sent)}", "font-subset", "pro", pressing, 3000, (UNITS, NODES, 0))
            sent.append(asyncio.create_task(request))
        await asyncio.sleep(EVERY_S)
    outcomes = Counter(await asyncio.gather(*sent))
    for client in clients:
        client.close()
    RECORD.say(
        f"customer {pressing:x}: {dict(outcomes)}, lowest store {ceiling.lowest:.1f}, allowed {-SLACK:.1f}"
    )
    if not outcomes["200"]:
        raise lib.CouldNotRunError("no request was served")
    return lib.BROKEN if ceiling.lowest < -SLACK else lib.HELD


if __name__ == "__main__":
    RECORD = lib.Record(FOLDER)
    sys.exit(lib.run_case(work, RECORD))
