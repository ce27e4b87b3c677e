#!/usr/bin/env python3
"""TCP relay of one node, by which a test cuts it off on loopback.

usage: relay.py CUTFILE NAME PEER_LISTEN=TARGET PLATFORM_LISTEN=TARGET

The first pair carries what peers send to node NAME; each such connection
goes one way and its first message names its sender, which is how the relay
knows between whom it runs.  The second pair carries NAME's own calls to the
platform.  While CUTFILE holds the name of either end, connections between
them are closed and none is opened.
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
    """One connection and the one that it is carried on over."""

    def __init__(self, near, target, ends):
        self.ends = set(ends)
        self.known = len(ends) > 1
        self.near = near
        self.far = socket.create_connection(target)
        for s in (self.near, self.far):
            s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def carry(self, source):
        data = source.recv(CHUNK)
        if not self.known:
            # A four byte length, then field 1, the sender's name.
            m = re.match(rb"....\x0a.(n\d+)", data, re.S)
            self.known = True
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
        for s in (p.near, p.far):
            if s.fileno() >= 0:
                sel.unregister(s)
                s.close()

    def accept(listener, target, ends):
        near = listener.accept()[0]
        try:
            p = Pair(near, target, ends)
        except OSError:
            near.close()
            return
        pairs.add(p)
        sel.register(p.near, selectors.EVENT_READ, p)
        sel.register(p.far, selectors.EVENT_READ, p)

    def carry(p, source, cut):
        sink = p.far if source is p.near else p.near
        try:
            data = p.carry(source)
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
                carry(key.data, key.fileobj, cut)


if __name__ == "__main__":
    main()
