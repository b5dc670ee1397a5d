"""No stream of a test outlives its event loop."""

from __future__ import annotations

import asyncio


def test_connections_that_a_test_leaves_open_end_with_its_event_loop() -> None:
    # Guards against streams that the garbage collector closes in a later test, an error on CPython 3.11.6
    async def main() -> list[asyncio.StreamWriter]:
        accepted: list[asyncio.StreamWriter] = []
        server = await asyncio.start_server(lambda _, writer: accepted.append(writer), "127.0.0.1", 0)
        _, dialed = await asyncio.open_connection(*server.sockets[0].getsockname())
        while not accepted:
            await asyncio.sleep(0.001)
        server.close()
        return [dialed, *accepted]

    assert [writer.is_closing() for writer in asyncio.run(main())] == [True, True]
