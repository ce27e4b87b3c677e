#!/usr/bin/env python3
"""TCP relay of one node, with which a test cuts the node off on loopback.

usage: relay.py CUTFILE NAME PEER_LISTEN=TARGET PLATFORM_LISTEN=TARGET

The first pair forwards connections of peers to node NAME.  Each such connection
carries messages in one direction, and its first message has the sender's name,
from which the relay learns both ends.  The second pair forwards NAME's requests
to the platform.  While CUTFILE has the name of either end, connections between
the two are closed and no new ones are accepted.
"""
import re
import selectors
import socket
import sys

POLL_S = 0.01
CHUNK = 1 << 16


def address(text):
    host, port = text.rsplit(":", 1)
    return host, int(port)


class Pair:
    """An accepted connection and the connection to the target."""

    def __init__(self, accepted, target, ends):
        self.ends = set(ends)
        self.ends_known = len(ends) > 1
        self.accepted = accepted
        self.target_conn = socket.create_connection(target)
        for s in (self.accepted, self.target_conn):
            s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def read_from(self, source):
        data = source.recv(CHUNK)
        if not self.ends_known:
            # A length of four bytes, then field 1, the sender's name.
            m = re.match(rb"....\x0a.(n\d+)", data, re.S)
            self.ends_known = True
            if m:
                self.ends.add(m.group(1).decode())
        if not data:
            return None
        return data


def main():
    cut_file, name, peer, platform = sys.argv[1:5]
    sel = selectors.DefaultSelector()
    pairs = set()
    for pair, ends in ((peer, [name]), (platform, [name, "platform"])):
        listen, target = pair.split("=")
        s = socket.create_server(address(listen), backlog=128)
        sel.register(s, selectors.EVENT_READ, (address(target), ends))
        print("port", address(listen)[1], name, flush=True)

    def close(p):
        pairs.discard(p)
        for s in (p.accepted, p.target_conn):
            if s.fileno() >= 0:
                sel.unregister(s)
                s.close()

    def accept(listener, target, ends):
        accepted = listener.accept()[0]
        try:
            p = Pair(accepted, target, ends)
        except OSError:
            accepted.close()
            return
        pairs.add(p)
        sel.register(p.accepted, selectors.EVENT_READ, p)
        sel.register(p.target_conn, selectors.EVENT_READ, p)

    def forward(p, source, cut):
        sink = p.target_conn if source is p.accepted else p.accepted
        try:
            data = p.read_from(source)
            if data is None or p.ends & cut:
                close(p)
            else:
                sink.sendall(data)
        except OSError:
            close(p)

    while True:
        events = sel.select(POLL_S)
        with open(cut_file) as f:
            cut = set(f.read().split())
        for p in [p for p in pairs if p.ends & cut]:
            close(p)
        for key, _ in events:
            if isinstance(key.data, tuple):
                accept(key.fileobj, *key.data)
            elif key.data in pairs:
                forward(key.data, key.fileobj, cut)


if __name__ == "__main__":
    main()
