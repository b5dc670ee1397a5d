"""A node is restarted while discovery is slow; its app server began to drain before the restart."""

import asyncio
import itertools
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

import standins2 as s2  # noqa: E402

GRACE_SECONDS = 0.25 + 0.05  # the settings' grace, and the protocol page's 50 ms
SLOW_SECONDS = 1.5  # from a call to discovery's answer, while discovery is slow


async def case(record: s2.Record, folder: Path, has_trouble: bool) -> int:
    servers = [s2.AppServer(f"s{index}", record) for index in range(3)]
    agent = s2.DiscoveryAgent(record)
    await agent.open()
    for server in servers:
        await server.open()
        agent.rows[server.name] = server.row()
    (port,) = s2.free_ports(1)
    peer_ports = s2.free_ports(1, s2.socket.SOCK_DGRAM)
    node = s2.EdgeNode(s2.node_fields(0, [port], peer_ports, agent.port, agent.known()), folder, record)
    customers = itertools.cycle(range(1, 60))

    def make() -> s2.Request:
        return s2.Request("tag-check", "basic", next(customers), 1, 2000)

    clients = [s2.Client(port, record) for _ in range(4)]
    try:
        await node.start()
        answers = await s2.ask_until(clients, s2.now() + 2.0, make, 0.02)
        # The node ends as at a planned restart, and comes back with the list that it held. Meanwhile one app
        # server has begun to drain, and the agent has been told.
        node.send_signal(s2.signal.SIGTERM)
        await node.process.wait()
        drained = servers[0]
        drained.lifecycle = "draining"
        agent.update(drained.row())
        await asyncio.sleep(1.0)
        if has_trouble:

            async def deliver_slowly(writer: asyncio.StreamWriter, body: bytes) -> None:
                await asyncio.sleep(SLOW_SECONDS)
                await agent.deliver_at_once(writer, body)

            agent.deliver = deliver_slowly
            record.write(f"discovery is slow: {SLOW_SECONDS} s for each answer")
        node.fields["seed"] = s2.os.urandom(8).hex()
        await node.start()
        answers += await s2.ask_until(clients, s2.now() + 4.0, make, 0.02)
    finally:
        for client in clients:
            client.close()
        await node.kill()
        for server in [*servers, agent]:
            await server.close()
    served = sum(answer.status == 200 for answer in answers)
    record.write(f"answers: {len(answers)}, of them 200: {served}")
    if not served:
        raise s2.CannotRunError("nothing was served")
    # What the agent holds counts as told from the first moment of the new process.
    breaks = [each for each in drained.dispatches if each.first_byte_at > node.started_at + GRACE_SECONDS]
    for each in breaks:
        after_ms = (each.first_byte_at - node.started_at) * 1000
        record.write(
            f"break: {each.trace_id} sent to the draining {each.server} {after_ms:.0f} ms after the start"
        )
    return s2.BROKEN if breaks else s2.HELD


if __name__ == "__main__":
    sys.exit(s2.run_case(FOLDER, case))
