"""Clients' connections: reqs in, answers out. I/O only."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import h11

from onyxpost.deployment import Deployment
from onyxpost.edge import messages as m
from onyxpost.edge.exchange import READ, message

IDLE = 75_000.0  # ms that a connection may stand between reqs
LINGER = 2_000.0  # ms for the last answer to be taken before the connection is cut
SLOW = 15_000.0  # ms in which a req that has begun must be whole


class Client:
    """One connection. A req at a time; while it waits for its answer, reading goes on to see it leave."""

    def __init__(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.number, self.reader, self.writer = number, reader, writer
        self.http = h11.Connection(h11.SERVER)
        self.since = 0.0  # when it last began to wait for a req, or got the first of one
        self.waits = False  # for the answer to a req that was handed on
        self.begun = False  # some of a req is here
        self.fresh = True  # nothing answered yet: its first req may be on its way
        self.beyond = False  # the node's room: its one req is read, denied, and the connection closed
        self.rest = False  # of a req that was answered before it was whole: read and thrown away
        self.request: h11.Request | None = None
        self.body = bytearray()

    def idle(self) -> bool:
        return not self.waits and not self.begun


class Clients:
    def __init__(
        self, deployment: Deployment, clock: Callable[[], float], post: Callable[[m.Incoming], None],
        ready: Callable[[], bool], room: Callable[[], bool], fault: Callable[[str, BaseException], None],
    ) -> None:  # fmt: skip
        self.deployment, self.clock, self.post, self.ready, self.room = deployment, clock, post, ready, room
        self.fault = fault
        self.open: dict[int, Client] = {}
        self.opened = 0
        self.leaving = False
        self.server: asyncio.Server | None = None

    async def listen(self, address: m.Address) -> None:
        self.server = await asyncio.start_server(self.serve, *address, limit=READ, backlog=1024)

    def stop_listening(self) -> None:
        if self.server is not None:
            self.server.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        client = Client(self.opened, reader, writer)
        client.since = self.clock()
        self.open[client.number] = client
        try:
            client.beyond = not self.room()
            while not writer.transport.is_closing():
                data = await reader.read(READ)
                if client.rest:
                    if not data:
                        return
                    continue
                if data and client.idle():
                    client.begun, client.since = True, self.clock()
                if client.waits and len(client.http.trailing_data[0]) + len(data) > 2 * READ:
                    return
                client.http.receive_data(data)
                if not client.waits:
                    self.take(client)
                if not data:
                    return
        except OSError:
            pass
        except Exception as err:
            self.fault("client", err)
        finally:
            if client.waits:
                client.waits = False
                self.post(m.ClientLeft(client.number))
            await self.end(client)

    async def end(self, client: Client) -> None:
        """Close; an answer that nobody takes must not hold the descriptor for long."""
        client.writer.close()
        try:
            async with asyncio.timeout(LINGER / 1000.0):
                await client.writer.wait_closed()
        except OSError:
            client.writer.transport.abort()
        finally:
            self.open.pop(client.number, None)

    def take(self, client: Client) -> None:
        """What has come in, as far as it goes."""
        turned_away = True
        while turned_away and not client.writer.transport.is_closing():
            turned_away = False
            try:
                self.events(client, client.http)
            except h11.RemoteProtocolError as err:
                self.reply(client, max(400, err.error_status_hint), [], str(err).encode()[:200], close=True)
            except m.NotTaken as err:
                cut = client.http.their_state is not h11.DONE
                self.reply(client, err.status, [], str(err).encode(), close=cut)
                turned_away = not cut  # others may have come behind it

    def events(self, client: Client, http: h11.Connection) -> None:
        while not client.waits and (event := http.next_event()) is not h11.NEED_DATA:
            match event:
                case h11.Request():
                    client.request, client.body = event, bytearray()
                    client.begun = True
                case h11.Data(data=data):
                    client.body += data
                    if len(client.body) > m.BODY_MOST:
                        raise m.NotTaken(413, "body over 64 KiB")
                case h11.EndOfMessage():
                    self.whole(client)
                case _:
                    return
        if http.they_are_waiting_for_100_continue:
            data = http.send(h11.InformationalResponse(status_code=100, headers=[]))
            client.writer.write(data or b"")

    def whole(self, client: Client) -> None:
        request = client.request
        assert request is not None
        client.begun = False
        if request.target == b"/healthz" and request.method in (b"GET", b"HEAD"):
            self.reply(client, 200 if self.ready() else 503, [], b"")
            return
        if client.beyond:
            self.reply(client, 503, [(b"Retry-After", b"1")], b"", close=True)
            return
        # Its time has run since it was sent, which is before its first byte came.
        asked = m.asked(client.number, client.since, request, bytes(client.body), self.deployment)
        client.waits = True
        self.post(asked)

    def answer(self, answer: m.Answer) -> None:
        client = self.open.get(answer.client)
        if client is None or not client.waits:
            return
        client.waits = False
        try:
            self.reply(client, *m.answer(answer))
        except h11.LocalProtocolError:  # an answer that cannot be put in words: the client must not wait on
            client.writer.close()
            raise
        if client.http.trailing_data[0]:
            self.take(client)  # what it sent meanwhile

    def reply(
        self, client: Client, status: int, headers: m.Headers, body: bytes, close: bool = False
    ) -> None:
        http = client.http
        client.begun = client.fresh = False
        client.since = self.clock()
        if http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            client.writer.close()
            return
        headers.append((b"Content-Length", b"%d" % len(body)))
        if close or self.leaving:
            headers.append((b"Connection", b"close"))
        head_only = client.request is not None and client.request.method == b"HEAD"
        response = h11.Response(status_code=status, headers=headers)
        client.writer.write(message(http, response, b"" if head_only else body))
        if http.their_state not in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED):
            # Closed with bytes unread, the connection would be reset and the answer perhaps never seen.
            client.rest = client.begun = True
            client.writer.write_eof()
        elif http.our_state is h11.MUST_CLOSE:
            client.writer.close()
        else:
            http.start_next_cycle()
            client.request = None

    def incoming(self) -> bool:
        """Is some req here in part?"""
        return any(client.begun and not client.rest for client in self.open.values())

    def close_idle(self, most: int | None = None) -> int:
        """Close connections between reqs, those that have stood longest first. A req that crosses this on its
        way is sent once more by its client, but the first on a connection would be lost."""
        idle = [client for client in self.open.values() if client.idle() and not client.fresh]
        idle = sorted(idle, key=lambda client: client.since)[:most]
        for client in idle:
            client.writer.close()
        return len(idle)

    def sweep(self) -> None:
        now = self.clock()
        for client in list(self.open.values()):
            if not client.waits and now - client.since > (SLOW if client.begun else IDLE):
                client.writer.transport.abort()

    async def finish(self) -> None:
        """Close all, once what is still to be written has gone out."""
        for client in self.open.values():
            client.writer.close()
        while self.open:
            await asyncio.sleep(0.01)
