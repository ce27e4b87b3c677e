"""HTTP servers that cost little processor time.

A Server answers the requests of a connection in order.  handle has the arguments
(method, path, headers, body) and returns the whole answer, or None to leave the
request unanswered.
"""

import asyncio
import math

HEAD_END = b"\r\n\r\n"


def parse_head(head):
    lines = head.decode().split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return lines[0].split(), headers


class Connection(asyncio.Protocol):
    def __init__(self, server):
        self.server, self.data = server, b""
        self.head = None  # of the request whose body is incomplete
        self.task = None  # the request that is handled
        self.silent = False

    def connection_made(self, transport):
        self.transport = transport
        if len(self.server.connections) >= self.server.connections_max:
            self.server.resets += 1
            transport.abort()
            return
        self.server.connections.add(self)

    def connection_lost(self, error):
        self.server.connections.discard(self)
        if self.task:
            self.task.cancel()

    def data_received(self, data):
        self.data += data
        if not self.task and not self.silent:
            self.next_request()

    def next_request(self):
        if self.head is None:
            end = self.data.find(HEAD_END)
            if end < 0:
                return
            self.head = parse_head(self.data[:end])
            self.data = self.data[end + len(HEAD_END) :]
        (method, path, _), headers = self.head
        size = int(headers.get("content-length", 0))
        if len(self.data) < size:
            return
        body, self.data = self.data[:size], self.data[size:]
        self.head = None
        self.task = asyncio.ensure_future(
            self.server.handle(method, path, headers, body)
        )
        self.task.add_done_callback(self.send)

    def send(self, task):
        if task.cancelled():
            return
        out = task.result()
        # self.task stays set, so nothing more is read.
        if out is None or self.silent:
            return
        self.task = None
        if not self.transport.is_closing():
            self.transport.write(out)
            self.next_request()


class Server:
    """A connection more than connections_max is reset."""

    def __init__(self, handle, host, port, connections_max=math.inf):
        self.handle, self.host, self.port = handle, host, port
        self.name = f"{host}:{port}"
        self.connections_max, self.resets = connections_max, 0
        self.connections, self.listener = set(), None

    async def start(self):
        if self.listener is None:
            self.listener = await asyncio.get_running_loop().create_server(
                lambda: Connection(self), self.host, self.port
            )

    def silence(self):
        """The open connections carry nothing any more; new ones work."""
        for c in self.connections:
            c.silent = True

    def stop(self):
        """Resets the connections; new ones are refused."""
        if self.listener:
            self.listener.close()
            self.listener = None
        for c in list(self.connections):
            c.transport.abort()
