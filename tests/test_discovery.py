"""A discovery that all nodes share and that has less room than they have questions, on the virtual clock."""

from __future__ import annotations

import asyncio
import unittest
from random import Random

from onyxpost.edge.discovery import Discovery
from onyxpost.lab.virtual import Network, run

NODES, CALL, OUT = 40, 0.125, 2.0  # a call's work in s; a question that would wait longer is turned away
EMPTY = b'{"generation":0,"reset":false,"instances":[]}'


class Overbooked:
    """Each node's agent hands a question on to it; work once taken in is done, also for nobody any more, and
    turning away is work too."""

    def __init__(self) -> None:
        self.free_at, self.asked, self.watched = 0.0, [], set()  # when its line is empty, times, nodes

    async def serve(self, node: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (OSError, EOFError):
                return
            status = 200
            if b"timeout_ms=1 " not in head and node not in self.watched:  # what it holds costs nothing
                self.asked.append(loop.time())
                wait = max(0.0, self.free_at - loop.time())
                self.free_at = loop.time() + wait + (CALL if wait < 2.0 * OUT else CALL / 10.0)
                await asyncio.sleep(min(wait + CALL, OUT) if wait < 2.0 * OUT else 0.005)
                status = 200 if wait + CALL <= OUT else 503
                if status == 200:
                    self.watched.add(node)
            if status == 200 and b"timeout_ms=1 " not in head:
                await asyncio.sleep(4.0)  # a watch waits
            text = EMPTY if status == 200 else b""
            writer.write(b"HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n" % (status, len(text)) + text)


class SharedDiscovery(unittest.TestCase):
    def test_nodes_that_restart_together_all_come_to_hear_of_an_overbooked_discovery(self) -> None:
        async def story() -> Overbooked:
            net, shared = Network(Random(1)), Overbooked()
            for n in range(NODES):
                serve = lambda r, w, n=n: shared.serve(n, r, w)  # noqa: E731
                await net.host(f"agent{n}").listen(serve, (f"a{n}", 1), 65536, 16)
                node = Discovery(net.host(f"n{n}"), (f"a{n}", 1), 0, list, list, seed=n, costly=True)
                node.begin()
            await asyncio.sleep(20.0)
            return shared

        shared = run(story())
        self.assertEqual(len(shared.watched), NODES)
        busiest = max(sum(1 for t in shared.asked if second <= t < second + 1) for second in range(20))
        self.assertLessEqual(busiest, 1.5 * NODES)


if __name__ == "__main__":
    unittest.main()
