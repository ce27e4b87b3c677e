"""The soak's network: servers and proxies on loopback, faults and cuts.

A Cut parts the network in two, with the store on the far side.  Nodes and the
workers of the near side reach each other, and neither reaches the other side.
Packets that cross are dropped, not refused: new calls go unanswered, and an open
connection stalls until the cut ends, as with TCP, or is lost.
"""

import asyncio
import re

STALL_POLL_S = 0.02
ADDRESS = re.compile(rb"\d+\.\d+\.\d+\.\d+:\d+")


class Streams:
    """Closes all servers and connections at the end of the soak.  A connection
    that is still open when its event loop closes makes the interpreter print an
    exception for each."""

    def __init__(self):
        self.servers, self.writers = set(), set()

    async def listen(self, serve, host, port):
        async def serve_one(reader, writer):
            self.writers.add(writer)
            try:
                await serve(reader, writer)
            except asyncio.CancelledError:
                pass  # the soak has ended
            finally:
                self.close_writer(writer)

        server = await asyncio.start_server(serve_one, host, port)
        self.servers.add(server)
        return server

    async def connect(self, host, port):
        reader, writer = await asyncio.open_connection(host, port)
        self.writers.add(writer)
        return reader, writer

    def close_server(self, server):
        self.servers.discard(server)
        server.close()

    def close_writer(self, writer):
        self.writers.discard(writer)
        writer.close()

    async def close_all(self):
        """The tasks of the connections end with them."""
        for server in list(self.servers):
            self.close_server(server)
        for writer in list(self.writers):
            writer.transport.abort()
        rest = asyncio.all_tasks() - {asyncio.current_task()}
        for t in rest:
            t.cancel()
        await asyncio.gather(*rest, return_exceptions=True)
        await asyncio.sleep(0)  # the transports close their sockets


class Cut:
    """near: addresses of nodes, and ids of workers, on the near side.  stalls:
    whether open connections go on after the cut."""

    def __init__(self, nodes, workers, stalls):
        self.nodes, self.workers = frozenset(nodes), frozenset(workers)
        self.stalls = stalls

    def parts_nodes(self, a, b):
        return (a in self.nodes) != (b in self.nodes)

    def parts_store(self, node):
        return node in self.nodes

    def parts_worker(self, node, worker):
        return (node in self.nodes) != (worker in self.workers)


class Proxy:
    """Forwards connections to an address, with faults according to mode, and
    obeys the cut that net.cut tells of."""

    def __init__(self, net, target, connections_max=None):
        self.net, self.target = net, target
        self.connections_max = connections_max
        self.links, self.resets = [], 0  # open connections; those too many
        self.mode, self.server, self.writers = "pass", None, set()
        self.opening = None  # task that opens the server again

    async def start(self, host, port):
        self.address, self.name = (host, port), f"{host}:{port}"
        self.server = await self.net.streams.listen(self.serve, host, port)
        if self.mode == "refuse":  # set meanwhile
            self.net.streams.close_server(self.server)

    def set_mode(self, mode):
        if (mode == "refuse") != (self.mode == "refuse"):
            if mode == "refuse":
                self.net.streams.close_server(self.server)
            elif self.opening is None or self.opening.done():
                self.opening = asyncio.ensure_future(self.start(*self.address))
        self.mode = mode
        if mode in ("reset", "refuse"):
            for writer in list(self.writers):
                writer.transport.abort()

    def forget(self, link):
        self.links = [x for x in self.links if x is not link]

    def silence(self):
        """The open connections carry nothing any more; new ones work."""
        for link in self.links:
            link["silent"] = True

    def parted(self, data, link):
        """Whether the data would cross the cut."""
        return False

    async def pass_cut(self, data, link):
        """Waits while a cut parts the link.  Returns False if the connection
        does not survive it."""
        lost = False
        while self.parted(data, link):
            lost = lost or not self.net.cut.stalls
            await asyncio.sleep(STALL_POLL_S)
        return not lost

    async def forward(self, reader, writer, from_target, link):
        try:
            while data := await reader.read(65536):
                if not await self.pass_cut(data, link):
                    writer.transport.abort()
                    return
                if self.mode == "delay":
                    await asyncio.sleep(0.15)
                if (
                    self.mode == "silent"
                    or "silent" in link
                    or (from_target and self.mode == "oneway")
                ):
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        await self.pass_cut(b"", link)
        writer.close()
        if not from_target:  # the target need not notice
            self.forget(link)

    async def reset(self, reader, writer, link):
        """Nothing listens.  The sender learns it unless a cut parts them."""
        try:
            if self.net.cut:
                await self.pass_cut(await reader.read(65536), link)
        except OSError:
            pass
        writer.transport.abort()

    async def serve(self, reader, writer):
        if self.mode in ("reset", "refuse"):
            writer.transport.abort()
            return
        if self.connections_max and len(self.links) >= self.connections_max:
            self.resets += 1
            writer.transport.abort()
            return
        target, link = None, {}
        self.links.append(link)
        self.writers.add(writer)
        try:
            target_reader, target = await self.net.streams.connect(
                *self.target
            )
            self.writers.add(target)
            await asyncio.gather(
                self.forward(reader, target, False, link),
                self.forward(target_reader, writer, True, link),
            )
        except OSError:
            await self.reset(reader, writer, link)
        finally:
            self.forget(link)
            self.writers.discard(writer)
            if target:
                self.writers.discard(target)
                self.net.streams.close_writer(target)


class StoreProxy(Proxy):
    """Of one node's connections to the store."""

    def __init__(self, net, target, node):
        super().__init__(net, target)
        self.node = node

    def parted(self, data, link):
        return self.net.cut and self.net.cut.parts_store(self.node)


class PeerProxy(Proxy):
    """Of the connections that other nodes open to one node.  The first thing
    that a connection carries is the sender's address."""

    def __init__(self, net, target, node):
        super().__init__(net, target)
        self.node = node

    def parted(self, data, link):
        if "from" not in link:
            m = ADDRESS.search(data)
            link["from"] = m.group().decode() if m else None
        return self.net.cut and self.net.cut.parts_nodes(
            link["from"], self.node
        )


class Net:
    def __init__(self):
        self.streams = Streams()
        self.cut = None
