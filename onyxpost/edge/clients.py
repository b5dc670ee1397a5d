"""Clients' connections: reqs in, answers out. I/O only."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Callable

import h11

from onyxpost.deployment import Deployment
from onyxpost.edge import messages as m
from onyxpost.edge.errors import NotTaken
from onyxpost.edge.exchange import lean, message
from onyxpost.edge.net import Listener, Net, Unread, accept_no_more

READ = 16384  # bytes asked of a client's stream at once, and about what may wait in it
SLOW = 2_500.0  # ms in which a new connection must have sent a req, and a req that has begun be whole
IDLE = 5_000.0  # ms that a connection may stand between reqs
TURNS = 8  # of the loop: accepted, a transport, its protocol, the task that reads take a turn each
LINGER = 1_000.0  # ms for the last answer to be taken before the connection is cut
MUTE = 100.0  # ms without a whole req after which a new connection may have to make room
BEYOND = 16  # connections past the node's room that are still told so
ACCEPTS = 16  # connections taken in one turn of the loop: more would pass the limit before being counted


class Client:
    """One connection. A req at a time; while it waits for its answer, reading goes on to see it leave."""

    def __init__(self, number: int, writer: asyncio.StreamWriter, now: float) -> None:
        self.number, self.writer = number, writer
        self.http = h11.Connection(h11.SERVER)
        self.since = now  # when it last began to wait for a req, or got the first of one
        self.until = now + SLOW  # when it is cut, unless it gets on
        self.waits = False  # for the answer to a req that was handed on
        self.begun = False  # some of a req is here
        self.fresh = True  # nothing answered yet: its first req may be on its way
        self.beyond = False  # the node's room: its one req is read, denied, and the connection closed
        self.ahead = False  # it sent more before it had its answer: that is thrown away, and it is closed
        self.rest = False  # of a req that was answered before it was whole: read and thrown away
        self.request: h11.Request | None = None
        self.asked: m.Asked | None = None  # what its head says, unless it asks for the node's health
        self.body = bytearray()

    def idle(self) -> bool:
        return not self.waits and not self.begun and not self.writer.transport.is_closing()


class Clients:
    def __init__(
        self, deployment: Deployment, net: Net, post: Callable[[m.Incoming], None],
        ready: Callable[[], bool], room: Callable[[], bool], fault: Callable[[str, BaseException], None],
    ) -> None:  # fmt: skip
        self.deployment, self.net, self.clock = deployment, net, net.clock
        self.post, self.ready, self.room = post, ready, room
        self.fault = fault
        self.open: dict[int, Client] = {}
        self.opened = self.over = 0  # over: open past the node's room
        self.leaving = False
        self.server: Listener | None = None

    async def listen(self, address: m.Address) -> None:
        self.server = await self.net.listen(self.serve, address, READ, ACCEPTS)

    async def take_no_more(self) -> None:
        """All that were accepted are among the open ones then; those of this very turn are not yet."""
        if self.server is not None:
            accept_no_more(self.server)
        for _ in range(TURNS):
            await asyncio.sleep(0)
        self.stop_listening()

    def stop_listening(self) -> None:
        if self.server is not None:
            self.server.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        room = self.room()
        if not room and self.over >= BEYOND:
            writer.transport.abort()
            return
        lean(writer, READ)
        self.opened += 1
        client = self.open[self.opened] = Client(self.opened, writer, self.clock())
        client.beyond = not room
        self.over += client.beyond
        try:
            while not writer.transport.is_closing() and (data := await reader.read(READ)):
                self.came(client, data)
            if not client.waits and not client.rest and not writer.transport.is_closing():
                client.http.receive_data(b"")
                self.take(client)  # a req that was cut short
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
            self.over -= client.beyond
            self.open.pop(client.number, None)

    def came(self, client: Client, data: bytes) -> None:
        if client.rest:
            return
        if client.waits:
            client.ahead = True
            return
        if client.idle():
            client.begun, client.since = True, self.clock()
            client.until = client.until if client.fresh else client.since + SLOW
        client.http.receive_data(data)
        self.take(client)

    def take(self, client: Client) -> None:
        """What has come in, as far as it goes."""
        http = client.http
        try:
            self.events(client, http)
        except h11.RemoteProtocolError as err:
            self.refuse(client, max(400, err.error_status_hint), str(err), close=True)
        except NotTaken as err:
            with contextlib.suppress(h11.RemoteProtocolError):  # the rest of it, as far as it is here
                while http.their_state is h11.SEND_BODY and http.next_event() is not h11.NEED_DATA:
                    pass
            # Hundreds sent at once, each with an error of its own, would keep all others waiting.
            client.ahead = bool(http.trailing_data[0])
            self.refuse(client, err.status, str(err), err.cut or client.ahead)

    def events(self, client: Client, http: h11.Connection) -> None:
        while not client.waits and (event := http.next_event()) is not h11.NEED_DATA:
            match event:
                case h11.Request():
                    client.request, client.body, client.begun = event, bytearray(), True
                    # Its time has run since it was sent, which is before its first byte came.
                    client.asked = None
                    if event.target != b"/healthz" or event.method not in (b"GET", b"HEAD"):
                        client.asked = m.asked(client.number, client.since, event, self.deployment)
                case h11.Data(data=data):
                    client.body += data
                    if len(client.body) > m.BODY_MOST:
                        raise NotTaken(413, "body over 64 KiB")
                case h11.EndOfMessage():
                    self.whole(client)
                case _:
                    return
        if http.they_are_waiting_for_100_continue:
            data = http.send(h11.InformationalResponse(status_code=100, headers=[]))
            client.writer.write(data or b"")

    def whole(self, client: Client) -> None:
        client.ahead = bool(client.http.trailing_data[0])
        if client.asked is None:
            self.reply(client, 200 if self.ready() else 503, [], b"", close=client.ahead)
        elif client.beyond:
            self.reply(client, 503, [(b"Retry-After", b"1")], b"", close=True)
        else:
            asked = client.asked._replace(body=bytes(client.body))
            client.begun, client.waits, client.until = False, True, math.inf
            self.post(asked)

    def there(self, number: int) -> bool:
        """Does its client surely still wait for an answer? Also by what the loop has not read."""
        client = self.open.get(number)
        if client is None or not client.waits or client.writer.transport.is_closing():
            return False
        return self.net.unread(client.writer.transport) is not Unread.END

    def answer(self, answer: m.Answer) -> None:
        client = self.open.get(answer.client)
        if client is None or not client.waits:
            return
        client.waits = False
        try:
            self.reply(client, *m.answer(answer), close=client.ahead)
        except h11.LocalProtocolError:  # an answer that cannot be put in words: the client must not wait on
            client.writer.close()
            raise

    def refuse(self, client: Client, status: int, why: str, close: bool = False) -> None:
        self.reply(client, status, [], why.encode()[:200], close)

    def reply(
        self, client: Client, status: int, headers: m.Headers, body: bytes, close: bool = False
    ) -> None:
        http = client.http
        client.begun = client.fresh = False
        client.since = self.clock()
        client.until = client.since + IDLE
        if http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            client.writer.close()
            return
        headers.append((b"Content-Length", b"%d" % len(body)))
        if close or self.leaving:
            headers.append((b"Connection", b"close"))
        head_only = client.request is not None and client.request.method == b"HEAD"
        response = h11.Response(status_code=status, headers=headers)
        client.writer.write(message(http, response, b"" if head_only else body))
        if client.ahead or http.their_state not in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED):
            # Closed with bytes unread, the connection would be reset and the answer perhaps never seen.
            client.rest = client.begun = True
            client.until = client.since + LINGER
            client.writer.write_eof()
        elif http.our_state is h11.MUST_CLOSE:
            client.writer.close()
        else:
            http.start_next_cycle()
            client.request = client.asked = None
            client.body.clear()

    def incoming(self) -> bool:
        """Is a req on its way in? One that just connected is about to say it."""
        late = self.clock() - MUTE
        return any(
            (client.begun and not client.rest) or (client.fresh and not client.waits and client.since > late)
            for client in self.open.values()
        )

    def idle(self) -> list[Client]:
        """Between reqs, those that have stood longest first. A req that crosses a close on its way is sent
        once more by its client, but the first on a connection would be lost."""
        idle = [client for client in self.open.values() if client.idle() and not client.fresh]
        return sorted(idle, key=lambda client: client.since)

    def close_idle(self) -> None:
        for client in self.idle():
            client.writer.close()

    def make_room(self) -> bool:
        """Close one connection that has brought no whole req for a while, or else the one longest idle."""
        late = self.clock() - MUTE
        mute = (c for c in self.open.values() if (c.fresh or c.begun) and not c.waits and c.since < late)
        first = min(mute, key=lambda client: client.since, default=None) or next(iter(self.idle()), None)
        if first is None:
            return False
        first.writer.close()
        del self.open[first.number]
        return True

    def sweep(self) -> None:
        now = self.clock()
        for client in [client for client in self.open.values() if now > client.until]:
            if client.begun and not client.rest:
                self.refuse(client, 408, "the req did not come whole in time", close=True)
            else:
                client.writer.transport.abort()

    async def finish(self) -> None:
        """Close all, once what is still to be written has gone out."""
        for client in self.open.values():
            client.writer.close()
        while self.open:
            await asyncio.sleep(0.01)
