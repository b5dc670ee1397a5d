"""An edge node on real sockets, with stub app servers and clients on loopback."""

import asyncio
import signal
import socket
from unittest import mock

import pytest

from onyxpost.core.types import AttemptResult
from onyxpost.edge import client_connection, client_eviction, upstream_pool
from onyxpost.edge.messages import AttemptEnded, EdgeEvent, Endpoint, SendAttempt, SendPeerMessage
from tests.edge.event_loop import in_event_loop
from tests.edge.harness import (
    CLIENT_REQUEST,
    UPSTREAM_ANSWER,
    RunningNode,
    StubAppServer,
    encode_request,
    node_fields,
)
from tests.edge.harness import upstream_pool as create_pool


@in_event_loop
async def test_a_response_is_forwarded_unchanged_and_its_connection_reused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        monkeypatch.setattr(upstream_pool, "MIN_IDLE_MS", 0.0)
        for trace in ("a", "b"):
            head, body = await edge.ask(encode_request(trace=trace))
            assert (head.split(b"\r\n")[0][:12], body) == (b"HTTP/1.1 200", b"hello")
            assert b"x-mark: 1" in head.lower()
        assert (len(server.got), server.opened) == (2, 1)
        assert server.got[0].startswith(b"GET /check/7?a=b HTTP/1.1\r\n")


@in_event_loop
async def test_a_truncated_or_malformed_response_is_not_forwarded() -> None:
    huge = b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"
    for text in (
        UPSTREAM_ANSWER[:-2],
        UPSTREAM_ANSWER.replace(b"X-Mark: 1", b"Transfer-Encoding: chunked"),
        huge,
        b"HTTP/1.1 103 Early\r\n\r\n" * 9 + UPSTREAM_ANSWER,
        UPSTREAM_ANSWER.replace(b"Content-Length: 5\r\n", b""),
        b"nonsense\r\n\r\n",
        UPSTREAM_ANSWER.replace(b": 5", b": 70000") + b"x" * 69995,
    ):
        async with StubAppServer(*[(text, True)] * 9) as server, RunningNode(server.address) as edge:
            head, body = await edge.ask(encode_request())
            assert head.split(b" ")[1] in (b"429", b"502"), text[:60]
            assert body == b""


@in_event_loop
async def test_unsolicited_bytes_do_not_answer_the_next_request() -> None:
    async with StubAppServer(
        (UPSTREAM_ANSWER + UPSTREAM_ANSWER.replace(b"hello", b"other"), False)
    ) as server:
        async with RunningNode(server.address) as edge:
            assert (await edge.ask(encode_request(trace="a")))[1] == b"hello"
            assert (await edge.ask(encode_request(trace="b")))[1] == b"hello"
            assert server.opened == 2


@in_event_loop
async def test_late_bytes_on_an_idle_connection_do_not_answer_the_next_request() -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        await edge.ask(encode_request(trace="a"))
        ((link,),) = edge.program.servers.idle_connections.values()
        link.reader.feed_data(UPSTREAM_ANSWER.replace(b"hello", b"other"))
        assert (await edge.ask(encode_request(trace="b")))[1] == b"hello"


@in_event_loop
async def test_bytes_right_behind_a_response_find_no_request_to_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(upstream_pool, "MIN_IDLE_MS", 1e9)
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        for trace in ("a", "b"):
            assert (await edge.ask(encode_request(trace=trace)))[1] == b"hello"
        assert server.opened == 2


@in_event_loop
async def test_bytes_that_the_loop_has_not_read_are_seen_before_a_request_is_written() -> None:
    pool = create_pool(print)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        link = await pool.connect(Endpoint("s", listener.getsockname()))
        with listener.accept()[0] as far:
            assert link.has_no_unread_input()
            far.send(UPSTREAM_ANSWER)
            assert (link.is_unusable(), link.has_no_unread_input()) == (False, False)
        pool.close_connection(link)


@in_event_loop
async def test_a_response_that_is_too_long_ends_its_attempt_at_its_head() -> None:
    ends: asyncio.Queue[EdgeEvent] = asyncio.Queue()
    pool = create_pool(ends.put_nowait)
    async with StubAppServer((UPSTREAM_ANSWER.replace(b": 5", b": 3000000000"), False)) as server:
        pool.send(SendAttempt(7, Endpoint("s", server.address), CLIENT_REQUEST, 4000.0))
        end = await asyncio.wait_for(ends.get(), 5.0)
        assert isinstance(end, AttemptEnded)
        assert end.result is AttemptResult.LOST


@in_event_loop
async def test_informational_responses_before_the_final_one_are_skipped() -> None:
    early = b"HTTP/1.1 103 Early\r\n\r\n" * 3
    async with StubAppServer((early + UPSTREAM_ANSWER, False)) as server, RunningNode(server.address) as edge:
        assert (await edge.ask(encode_request()))[1] == b"hello"


@in_event_loop
async def test_a_new_server_at_an_old_address_inherits_no_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstream_pool, "MIN_IDLE_MS", 0.0)
    ends: asyncio.Queue[EdgeEvent] = asyncio.Queue()
    pool = create_pool(ends.put_nowait)
    async with StubAppServer() as server:
        for number, name in enumerate(("old", "old", "new")):
            pool.send(SendAttempt(number, Endpoint(name, server.address), CLIENT_REQUEST, 900.0))
            await asyncio.wait_for(ends.get(), 5.0)
        assert (server.opened, pool.connection_count) == (2, 2)
        pool.retire_endpoint(Endpoint("old", server.address))
        assert pool.connection_count == 1
        pool.close()


@in_event_loop
async def test_a_connection_that_the_server_closed_is_not_reused() -> None:
    async with StubAppServer((UPSTREAM_ANSWER, True)) as server, RunningNode(server.address) as edge:
        await edge.ask(encode_request(trace="a"))
        ((link,),) = edge.program.servers.idle_connections.values()
        while not link.reader.at_eof():
            await asyncio.sleep(0.001)
        assert (await edge.ask(encode_request(trace="b")))[1] == b"hello"
        assert (server.opened, len(server.got)) == (2, 2)


@in_event_loop
async def test_a_client_that_disconnects_cancels_its_attempt() -> None:
    async with StubAppServer(None) as server, RunningNode(server.address) as edge:
        edge.writer.write(encode_request("toll", Idempotency_Key="k", X_Expires_In="4900m"))
        while not server.got:
            await asyncio.sleep(0.001)
        edge.writer.close()
        async with asyncio.timeout(3.0):  # well before its time-out
            await server.closed.wait()
            while edge.program.state_machine.requests.by_id:
                await asyncio.sleep(0.001)


@in_event_loop
async def test_an_attempt_cancelled_before_its_first_step_still_reports_its_end() -> None:
    ends: list[EdgeEvent] = []
    servers = create_pool(ends.append)
    servers.send(SendAttempt(7, Endpoint("s", ("127.0.0.1", 9)), CLIENT_REQUEST, 900.0))
    servers.cancel(7)
    await asyncio.sleep(0.01)
    assert ends == [AttemptEnded(7, AttemptResult.UNUSED, 0.0)]


@in_event_loop
async def test_an_attempt_that_is_connecting_is_not_written_once_its_request_is_answered() -> None:
    ends: asyncio.Queue[EdgeEvent] = asyncio.Queue()
    servers = create_pool(ends.put_nowait)
    async with StubAppServer() as server:
        servers.send(SendAttempt(7, Endpoint("s", server.address), CLIENT_REQUEST, 900.0))
        await asyncio.sleep(0)  # it connects
        servers.withdraw(7)
        assert await asyncio.wait_for(ends.get(), 5.0) == AttemptEnded(7, AttemptResult.UNUSED, 0.0)
        assert server.got == []


@in_event_loop
async def test_a_server_that_drains_while_an_attempt_connects_receives_no_byte_of_it() -> None:
    ends: asyncio.Queue[EdgeEvent] = asyncio.Queue()
    drains: set[Endpoint] = set()
    servers = create_pool(ends.put_nowait, wanted=lambda place: place not in drains)
    async with StubAppServer() as server:
        servers.send(SendAttempt(7, Endpoint("s", server.address), CLIENT_REQUEST, 900.0))
        await asyncio.sleep(0)  # it connects
        drains.add(Endpoint("s", server.address))
        assert await asyncio.wait_for(ends.get(), 5.0) == AttemptEnded(7, AttemptResult.UNUSED, 0.0)
        assert (server.got, servers.connection_count) == ([], 0)


@in_event_loop
async def test_a_server_that_cannot_be_connected_never_executed_the_request() -> None:
    ends: asyncio.Queue[EdgeEvent] = asyncio.Queue()
    servers = create_pool(ends.put_nowait, connect=20.0)
    with socket.socket() as silent:  # its one place in the queue is taken: a further one never comes up
        silent.bind(("127.0.0.1", 0))
        silent.listen(0)
        with socket.create_connection(silent.getsockname()):
            for address in (silent.getsockname(), ("127.0.0.1", 9)):
                servers.send(SendAttempt(7, Endpoint("s", address), CLIENT_REQUEST, 900.0))
                end = await asyncio.wait_for(ends.get(), 5.0)
                assert isinstance(end, AttemptEnded)
                assert end.result is AttemptResult.NO_CONNECTION


@in_event_loop
async def test_an_invalid_request_is_answered_and_not_forwarded() -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        for data, status in ((encode_request(X_Trace_Id=""), b"400"), (encode_request("other"), b"404")):
            assert status in (await edge.ask(data))[0]
        long = encode_request(Content_Length="70000") + b"x" * 70000
        assert b"413" in (await edge.ask(long))[0]
        assert server.got == []


@in_event_loop
async def test_many_pipelined_invalid_requests_get_one_error_and_a_close() -> None:
    for bad in (encode_request("other"), encode_request().replace(b"/check/7?a=b", b"/healthz")):
        async with StubAppServer() as server, RunningNode(server.address) as edge:
            edge.writer.write(bad * 500)
            text = await asyncio.wait_for(edge.reader.read(), 5.0)
            assert (text.count(b"HTTP/1.1"), server.got) == (1, [])


@in_event_loop
async def test_a_client_with_a_body_that_is_too_long_still_receives_the_error() -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        chunked = encode_request("toll", Transfer_Encoding="chunked", Idempotency_Key="k")
        for head, body in (
            (encode_request(Content_Length="9000000"), b"x" * 9_000_000),
            (chunked, (b"9000\r\n" + b"x" * 0x9000 + b"\r\n") * 200),
        ):
            reader, writer = await asyncio.open_connection(*edge.address)
            writer.write(head + body)
            await writer.drain()
            text = await asyncio.wait_for(reader.read(), 5.0)
            writer.close()
            assert (text[9:12], text.count(b"HTTP/1.1")) == (b"413", 1)


@in_event_loop
async def test_a_request_with_two_lengths_hides_no_other_in_its_body() -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        hidden = encode_request(trace="hidden")
        both = encode_request(
            "toll", Idempotency_Key="k", Content_Length=str(len(hidden) + 5), Transfer_Encoding="chunked"
        )
        edge.writer.write(both + b"0\r\n\r\n" + hidden)
        text = await asyncio.wait_for(edge.reader.read(), 5.0)
        assert (text[9:12], text.count(b"HTTP/1.1"), server.got) == (b"400", 1, [])


@in_event_loop
async def test_pipelined_requests_are_dropped_and_end_the_connection() -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        edge.writer.write(b"".join(encode_request(trace=f"t{i}") for i in range(300)))
        text = await asyncio.wait_for(edge.reader.read(), 5.0)
        assert (text.count(b"HTTP/1.1 200"), len(server.got)) == (1, 1)
        assert b"connection: close" in text.lower()


@in_event_loop
async def test_a_client_without_a_complete_request_in_time_is_disconnected() -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        with mock.patch.object(client_connection, "REQUEST_TIMEOUT_MS", 20.0):
            silent, silent_writer = await asyncio.open_connection(*edge.address)
            slow, slow_writer = await asyncio.open_connection(*edge.address)
            slow_writer.write(encode_request()[:-2])
            assert await asyncio.wait_for(silent.read(), 2.0) == b""
            assert b" 408 " in await asyncio.wait_for(slow.read(), 2.0)
        assert server.got == []
        assert (await edge.ask(encode_request()))[1] == b"hello"
        silent_writer.close()
        slow_writer.close()


@in_event_loop
async def test_idle_clients_leave_descriptors_for_upstream_connections() -> None:
    async with StubAppServer() as server, RunningNode(server.address, limits={"sockets": 40}) as edge:
        stay = []
        for number in range(40):  # each asks once, and stays
            reader, writer = await asyncio.open_connection(*edge.address)
            stay.append(writer)
            writer.write(encode_request(trace=f"t{number}"))
            assert b" 200 " in await asyncio.wait_for(reader.readuntil(b"hello"), 5.0)
            assert len(edge.program.clients.connections.open) <= 10
        for writer in stay:
            writer.close()


@in_event_loop
async def test_idle_upstream_connections_are_closed_first_when_descriptors_run_out() -> None:
    async with StubAppServer() as one, StubAppServer() as two, RunningNode(one.address, two.address) as edge:
        others = [await asyncio.open_connection(*edge.address) for _ in range(6)]
        for number, (_, writer) in enumerate(others):
            writer.write(encode_request(trace=f"other{number}"))
        assert (await edge.ask(encode_request()))[1] == b"hello"
        for reader, writer in others:
            await reader.readuntil(b"hello")
            writer.close()
        while len(edge.program.clients.connections.open) > 1:
            await asyncio.sleep(0.001)
        links = edge.program.servers.connection_count
        edge.file = node_fields(limits={"sockets": 8})  # less than is open
        edge.program.reload()
        _, writer = await asyncio.open_connection(*edge.address)
        while len(edge.program.clients.connections.open) < 2:
            await asyncio.sleep(0.001)
        assert edge.program.servers.connection_count < links
        writer.close()


@in_event_loop
async def test_a_silent_client_is_evicted_before_one_that_has_sent_a_request() -> None:
    async with StubAppServer() as server, RunningNode(server.address, limits={"sockets": 8}) as edge:
        await edge.ask(encode_request(trace="a"))  # from the third on, one gives way
        silent, _ = await asyncio.open_connection(*edge.address)
        while len(edge.program.clients.connections.open) < 2:
            await asyncio.sleep(0.001)
        with mock.patch.object(client_eviction, "GRACE_FOR_REQUEST_MS", -1.0):
            _, third = await asyncio.open_connection(*edge.address)
            assert await asyncio.wait_for(silent.read(), 5.0) == b""
        assert (await edge.ask(encode_request(trace="b")))[1] == b"hello"
        third.close()


@in_event_loop
async def test_requests_are_accepted_past_a_quarter_of_the_descriptors() -> None:
    async with (
        StubAppServer(*[None] * 9) as server,
        RunningNode(server.address, limits={"sockets": 24}) as edge,
    ):
        writers = []
        for number in range(9):
            writers.append((await asyncio.open_connection(*edge.address))[1])
            writers[-1].write(encode_request(trace=f"t{number}"))
            async with asyncio.timeout(5.0):
                while edge.program.state_machine.requests.received_count <= number:
                    await asyncio.sleep(0.001)
        for writer in writers:
            writer.close()


@in_event_loop
async def test_a_client_over_capacity_gets_a_rejection_and_no_reset() -> None:
    async with StubAppServer(None) as server, RunningNode(server.address) as edge:
        edge.program.clients.listener.has_capacity = lambda: False
        reader, writer = await asyncio.open_connection(*edge.address)
        writer.write(encode_request())
        text = await asyncio.wait_for(reader.read(), 5.0)
        writer.close()
        assert b"503" in text.split(b"\r\n")[0]
        assert b"retry-after" in text.lower()
        assert server.got == []


@in_event_loop
async def test_a_node_told_to_stop_answers_accepted_and_late_requests() -> None:
    async with StubAppServer(None) as server, RunningNode(server.address) as edge:
        idle_reader, idle_writer = await asyncio.open_connection(*edge.address)
        edge.writer.write(encode_request(X_Expires_In="900m"))
        idle_writer.write(b"GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n")
        assert b"200 " in await idle_reader.readuntil(b"\r\n\r\n")
        while not server.got:
            await asyncio.sleep(0.001)
        signal.raise_signal(signal.SIGTERM)
        assert await asyncio.wait_for(idle_reader.read(), 5.0) == b""
        idle_writer.close()
        late_reader, late_writer = await asyncio.open_connection(*edge.address)
        late_writer.write(encode_request(trace="late"))
        late = await asyncio.wait_for(late_reader.read(), 5.0)
        late_writer.close()
        assert b"hello" in late
        assert b"connection: close" in late.lower()
        head, _ = await edge.answer()  # the server never answered: given up on in time
        assert head.split(b" ")[1] in (b"429", b"502")
        assert await asyncio.wait_for(edge.running, 5.0) == 0


@in_event_loop
async def test_a_client_accepted_in_the_turn_in_which_the_listener_closes_is_answered() -> None:
    turn, sleep, late = [0.0], asyncio.sleep, socket.socket()

    async def until_accepted(seconds: float) -> None:
        if seconds != 0.6:
            return await sleep(seconds)
        late.connect(edge.address)  # the kernel takes it at once
        late.sendall(encode_request(trace="late"))
        again = asyncio.get_running_loop().create_future()
        asyncio.get_running_loop().call_soon(again.set_result, None)
        await again  # the listener's turn was the same
        turn[0] += 1

    async with StubAppServer() as server, RunningNode(server.address) as edge:
        with mock.patch("onyxpost.node.edge_node.asyncio.sleep", until_accepted):
            signal.raise_signal(signal.SIGTERM)
            assert await asyncio.wait_for(edge.running, 5.0) == 0
        assert (turn, len(server.got)) == ([1.0], 1)
        assert b"hello" in late.recv(65536)
        late.close()


@in_event_loop
async def test_a_peer_message_after_the_end_is_no_fault() -> None:
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        edge.program.close()
        await asyncio.sleep(0.01)
        edge.program.peers.send(SendPeerMessage(1, b"x"))


@in_event_loop
async def test_a_node_told_to_stop_still_reads_a_request_of_a_new_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("onyxpost.node.edge_node.ACCEPT_AFTER_STOP_SECONDS", 0.0)
    async with StubAppServer() as server, RunningNode(server.address) as edge:
        reader, writer = await asyncio.open_connection(*edge.address)
        while len(edge.program.clients.connections.open) < 2:
            await asyncio.sleep(0.001)
        signal.raise_signal(signal.SIGTERM)
        while edge.program.phase.value != "closing":
            await asyncio.sleep(0)
        writer.write(encode_request(trace="late"))
        assert b"hello" in await asyncio.wait_for(reader.read(), 5.0)
        writer.close()
        assert await asyncio.wait_for(edge.running, 5.0) == 0
