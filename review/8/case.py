"""Discovery is crowded and refuses each call; meanwhile an app server is taken from its list, and still answers."""

import asyncio
import itertools
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

import standins2 as s2  # noqa: E402

TOLD_AFTER_SECONDS = 6.0  # from the time at which discovery had the change
GRACE_SECONDS = 0.25 + 0.05  # the settings' grace, and the protocol page's 50 ms
TROUBLE_SECONDS = 8.0  # for as long as discovery is down on the page's `herd` day


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

    async def refuse(writer: asyncio.StreamWriter, _body: bytes) -> None:
        writer.write(s2.response(503))
        await writer.drain()

    clients = [s2.Client(port, record) for _ in range(4)]
    try:
        await node.start()
        answers = await s2.ask_until(clients, s2.now() + 2.0, make, 0.02)
        if has_trouble:
            agent.deliver = refuse
            record.write("discovery is crowded: it refuses each call")
        drained = servers[0]
        drained.lifecycle = "removed"
        drained.answers_while_leaving = True
        agent.update(drained.row())
        changed_at = s2.now()
        told_at = changed_at + TOLD_AFTER_SECONDS
        answers += await s2.ask_until(clients, changed_at + TROUBLE_SECONDS, make, 0.02)
        agent.deliver = agent.deliver_at_once
        record.write("discovery answers at once again")
        answers += await s2.ask_until(clients, s2.now() + 2.0, make, 0.02)
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
    breaks = [each for each in drained.dispatches if each.first_byte_at > told_at + GRACE_SECONDS]
    for each in breaks:
        after = each.first_byte_at - told_at + TOLD_AFTER_SECONDS
        record.write(
            f"break: {each.trace_id} sent to {each.server} {after:.2f} s after discovery had the change"
        )
    for event in node.log_events():
        record.write("log", event)
    return s2.BROKEN if breaks else s2.HELD


if __name__ == "__main__":
    sys.exit(s2.run_case(FOLDER, case))
