"""The load tool and the stand-ins, over loopback."""

import asyncio
import contextlib
import io
import json
import pathlib
import tempfile
import unittest
from dataclasses import replace

import pytest

from onyxpost.config.deployment import Deployment
from onyxpost.node import config
from onyxpost.node.edge_node import EdgeNode
from onyxpost.runtime.structured_log import StructuredLog
from onyxpost.simulation import load, stub_upstreams
from onyxpost.simulation.errors import InvalidSimulationInputError
from tests.edge.harness import UPSTREAM_ANSWER, StubAppServer, node_fields

pytestmark = pytest.mark.xdist_group("quiet")  # measures time: nothing else that fills sockets beside it


class Loads(unittest.IsolatedAsyncioTestCase):
    def deployment(self) -> Deployment:
        """Clients that wait long: where other work holds up the machine, none gives up."""
        told = config.decode(node_fields()).deployment
        return replace(told, frontends=[replace(f, client_timeout_ms=30_000.0) for f in told.frontends])

    async def test_a_stall_shows_in_every_req_that_it_held_up(self) -> None:
        # The one connection is answered after 0.3 s; what was due meanwhile waited for it.
        async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            stall = 0.3
            with contextlib.suppress(asyncio.IncompleteReadError):
                while await reader.readuntil(b"\r\n\r\n"):
                    await asyncio.sleep(stall)
                    stall = 0.0
                    writer.write(UPSTREAM_ANSWER)

        server = await asyncio.start_server(slow, "127.0.0.1", 0)
        wanted = load.Load(100.0, 0.4, 3, 1, 7)
        told = self.deployment()
        told = replace(told, frontends=[f for f in told.frontends if f.name == "check"])
        counts = await load.Sender(server.sockets[0].getsockname(), told, wanted).run()
        server.close()
        self.assertGreater(counts.finals["passed"], 20)
        self.assertGreater(counts.times["all"].get_value_at_percentile(50), 100_000)
        self.assertEqual(counts.opened, 1)

    async def test_each_final_answer_is_told_apart(self) -> None:
        denied = b"HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n"
        says = [
            (UPSTREAM_ANSWER, False),
            (denied, False),
            (denied.replace(b"429", b"502"), False),
            (b"", True),
        ]
        wanted = load.Load(200.0, 0.2, 3, 1, 7)
        async with StubAppServer(*says * 100) as server:
            counts = await load.Sender(server.address, self.deployment(), wanted).run()
        self.assertEqual(set(counts.finals), {"passed", "denied", "aborted", "cut"})
        lines = counts.lines(wanted)
        self.assertEqual([lines[0]["kind"], lines[-1]["kind"]], ["load", "total"])
        self.assertEqual(sum(counts.finals.values()), sum(sum(s.values()) for s in counts.seconds))

    def test_no_other_address_and_no_boundless_load(self) -> None:
        for host in ("10.0.0.1", "192.168.0.1", "example.org", "0.0.0.0"):
            with self.assertRaises(InvalidSimulationInputError):
                load.loopback((host, 80))
        good = load.Load(10.0, 10.0, 3, 10, 1)
        for wrong in (
            good._replace(rate=0.0),
            good._replace(seconds=1e9),
            good._replace(rate=1e9),
            good._replace(connections=0),
            good._replace(seconds=float("nan")),
        ):
            with self.assertRaises(InvalidSimulationInputError, msg=str(wrong)):
                load.bounded(wrong)

    async def test_a_node_before_stand_ins_that_fail_gives_each_req_its_answer(self) -> None:
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        script = folder / "faults.toml"
        kinds = ("hang", "drain", "spoil", "slow", "crash")
        script.write_text(
            "".join(
                f'[[faults]]\nat_s = {0.1 + 0.1 * i}\nkind = "{kind}"\nfor_s = 0.3\nserver = {i}\n'
                for i, kind in enumerate(kinds)
            )
        )
        place = stub_upstreams.Stand(5, 5.0, 0, ("127.0.0.1", 0))
        await place.open()
        example, out = folder / "example.json", folder / "node.json"
        example.write_text(json.dumps(node_fields()))
        stub_upstreams.write_node(example, out, place)
        told = config.decode(json.loads(out.read_text()))
        program = EdgeNode(told, StructuredLog("n0", out=io.StringIO()), lambda: told)
        running = asyncio.get_running_loop().create_task(program.run())
        while not program.is_ready():
            await asyncio.sleep(0.001)
        place.play(stub_upstreams.script(script, 5), lambda line: None)
        assert program.clients.listener.server is not None
        address = program.clients.listener.server.sockets[0].getsockname()
        counts = await load.Sender(address, told.deployment, load.Load(80.0, 1.2, 9, 50, 3)).run()
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        program.close()
        self.assertEqual(set(counts.finals) - {"passed", "denied", "aborted"}, set())
        self.assertGreater(counts.finals["passed"], 0)
        self.assertEqual(sorted(s.incarnation for s in place.servers), [0, 0, 0, 1, 1])

    def test_a_script_that_cannot_be_used_names_the_place(self) -> None:
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        file = folder / "faults.toml"
        for text, place in (
            ('[[faults]]\nat_s = 1\nkind = "no"', "$.faults[0].kind"),
            ("[[faults]]\nat_s = -1", "$.faults[0]"),
            ('[[faults]]\nat_s = 1\nkind = "hang"\nserver = 3', "$.faults[0].server"),
            ("faults = 1", "$.faults"),
        ):
            file.write_text(text)
            with self.assertRaises(InvalidSimulationInputError) as caught:
                stub_upstreams.script(file, 3)
            self.assertIn(place, str(caught.exception))
