// Messages between nodes: framing, queues, connections and compression.
#include <gtest/gtest.h>

#include "test_daemon_util.h"

extern "C" {
#include "peer.h"
}

static std::string
packed(const std::string &from)
{
	Ogl__PeerMsg m = OGL__PEER_MSG__INIT;

	m.from = const_cast<char *>(from.c_str());
	std::string s(ogl__peer_msg__get_packed_size(&m), '\0');
	ogl__peer_msg__pack(&m, (uint8_t *)&s[0]);
	return s;
}

static std::string
framed(const std::string &body)
{
	uint32_t n = htonl((uint32_t)body.size());

	return std::string((char *)&n, 4) + body;
}

struct Peer : ::testing::Test {
	Loop l;
	ogl_peer *p;

	Peer()
	{
		l.record = [](const ogl_event *ev, Seen &s) {
			s.text.assign(ev->u.peer.data.p, ev->u.peer.data.n);
		};
		p = ogl_peer_init(
		    l.loop, "127.0.0.1:0", l.sink(), l.log, nullptr);
	}
	~Peer() override
	{
		ogl_peer_end(p);
	}
	void send_to(uint16_t port, const std::string &s)
	{
		GBytes *b = g_bytes_new(s.data(), s.size());
		ogl_peer_send(p, addr_of(port).c_str(), b);
		g_bytes_unref(b);
	}
};

TEST_F(Peer, DeliversMessagesInOrderOnOneConnection)
{
	std::string large = packed(std::string(900000, 'x'));

	send_to(ogl_peer_port(p), packed("a"));
	send_to(ogl_peer_port(p), large);
	send_to(ogl_peer_port(p), packed("b"));
	ASSERT_TRUE(l.run_until([&] { return l.seen.size() == 3; }));
	EXPECT_EQ(packed("a"), l.seen[0].text);
	EXPECT_EQ(large, l.seen[1].text);
	EXPECT_EQ(packed("b"), l.seen[2].text);
	EXPECT_EQ(1u, ogl_peer_counts(p)->connects);
}

// TCP delivers frames in pieces that may end anywhere, also within the length.
// If a piece were taken for a frame, the messages would be garbage.
TEST_F(Peer, ReassemblesFragmentedFrames)
{
	std::string two = framed(packed("first")) + framed(packed("second"));
	int fd = connect_to(ogl_peer_port(p));

	for (char c : two) {
		ASSERT_TRUE(send_all(fd, std::string(1, c)));
		l.before_turn();
		ev_run(l.loop, EVRUN_ONCE);
	}
	ASSERT_TRUE(l.run_until([&] { return l.seen.size() == 2; }));
	EXPECT_EQ(packed("second"), l.seen[1].text);
	close(fd);
}

// A client of another protocol connects to the peer port.  Its first bytes form
// a huge length, for which the node must not allocate memory; the connection is
// closed.
TEST_F(Peer, ClosesConnectionOnOversizedFrame)
{
	int fd = connect_to(ogl_peer_port(p));

	ASSERT_TRUE(send_all(fd, "GET / HTTP/1.1\r\n\r\n"));
	ASSERT_TRUE(
	    l.run_until([&] { return ogl_peer_counts(p)->malformed == 1; }));
	EXPECT_EQ("", recv_all(fd));
	EXPECT_TRUE(l.seen.empty());
	close(fd);
}

// A frame of a valid length is no valid message, so the framing is lost.  The
// frames after it are ignored, even if they look valid.
TEST_F(Peer, ClosesConnectionOnMalformedFrame)
{
	int fd = connect_to(ogl_peer_port(p));

	ASSERT_TRUE(send_all(
	    fd, framed(std::string(32, '\xff')) + framed(packed("x"))));
	ASSERT_TRUE(
	    l.run_until([&] { return ogl_peer_counts(p)->malformed == 1; }));
	EXPECT_TRUE(l.seen.empty());
	close(fd);
	fd = connect_to(ogl_peer_port(p));
	ASSERT_TRUE(send_all(fd, framed("")));
	ASSERT_TRUE(
	    l.run_until([&] { return ogl_peer_counts(p)->malformed == 2; }));
	close(fd);
}

// A peer is down while messages are queued for it.  The queue stays within its
// limit, and the peer receives the newest messages once it is up again.
TEST_F(Peer, BoundedQueueKeepsNewestMessages)
{
	uint16_t port;
	int lfd = listen_on_free_port(&port);
	std::string first;

	close(lfd);
	for (int i = 0; i < 12; i++)
		send_to(port, packed(std::string(500000, (char)('a' + i))));
	EXPECT_EQ(4u, ogl_peer_counts(p)->dropped);
	ogl_peer *restarted = ogl_peer_init(
	    l.loop, addr_of(port).c_str(), l.sink(), l.log, nullptr);
	ASSERT_NE(nullptr, restarted);
	ASSERT_TRUE(l.run_until([&] { return l.seen.size() == 8; }));
	EXPECT_EQ(packed(std::string(500000, 'e')), l.seen[0].text);
	ogl_peer_end(restarted);
}

// A peer restarts on the same address.  The old connection breaks, and later
// messages reach the new process.
TEST_F(Peer, ReconnectsAfterPeerRestart)
{
	ogl_peer *q =
	    ogl_peer_init(l.loop, "127.0.0.1:0", l.sink(), l.log, nullptr);
	uint16_t port = ogl_peer_port(q);

	send_to(port, packed("before"));
	ASSERT_TRUE(l.run_until([&] { return l.seen.size() == 1; }));
	ogl_peer_end(q);
	q = ogl_peer_init(
	    l.loop, addr_of(port).c_str(), l.sink(), l.log, nullptr);
	ASSERT_NE(nullptr, q);
	ASSERT_TRUE(l.run_until([&] {
		send_to(port, packed("after"));
		return l.seen.size() >= 2;
	}));
	EXPECT_EQ(packed("after"), l.seen.back().text);
	ogl_peer_end(q);
}

struct CompressedPeer : Peer {
	CompressedPeer()
	{
		ogl_peer_enable_compression(p);
	}
};

TEST_F(CompressedPeer, DeliversMessagesInOrder)
{
	std::string large = packed(std::string(900000, 'x'));

	send_to(ogl_peer_port(p), packed("a"));
	send_to(ogl_peer_port(p), large);
	send_to(ogl_peer_port(p), packed("b"));
	ASSERT_TRUE(l.run_until([&] { return l.seen.size() == 3; }));
	EXPECT_EQ(packed("a"), l.seen[0].text);
	EXPECT_EQ(large, l.seen[1].text);
	EXPECT_EQ(packed("b"), l.seen[2].text);
}

TEST_F(CompressedPeer, CompressesSimilarMessages)
{
	size_t plain = 0;

	for (int i = 0; i < 200; i++) {
		std::string m = packed(
		    "a node of the cell, number " + std::to_string(i % 7));

		plain += m.size();
		send_to(ogl_peer_port(p), m);
	}
	ASSERT_TRUE(l.run_until([&] { return l.seen.size() == 200; }));
	EXPECT_LT(ogl_peer_counts(p)->bytes_out, plain / 3);
	EXPECT_EQ(ogl_peer_counts(p)->bytes_out, ogl_peer_counts(p)->bytes_in);
}

// A new connection must not continue the compressed stream of the broken one.
TEST_F(CompressedPeer, ReconnectsAfterPeerRestart)
{
	ogl_peer *q =
	    ogl_peer_init(l.loop, "127.0.0.1:0", l.sink(), l.log, nullptr);
	uint16_t port = ogl_peer_port(q);

	send_to(port, packed("before"));
	ASSERT_TRUE(l.run_until([&] { return l.seen.size() == 1; }));
	ogl_peer_end(q);
	q = ogl_peer_init(
	    l.loop, addr_of(port).c_str(), l.sink(), l.log, nullptr);
	ASSERT_NE(nullptr, q);
	ASSERT_TRUE(l.run_until([&] {
		send_to(port, packed("after"));
		return l.seen.size() >= 2;
	}));
	EXPECT_EQ(packed("after"), l.seen.back().text);
	ogl_peer_end(q);
}

// The bytes of a corrupted stream must not be taken for messages.
TEST_F(CompressedPeer, ClosesConnectionOnCorruptedStream)
{
	int fd = connect_to(ogl_peer_port(p));

	ASSERT_TRUE(send_all(fd, "OGLZ" + std::string(64, '\xee')));
	ASSERT_TRUE(
	    l.run_until([&] { return ogl_peer_counts(p)->malformed == 1; }));
	EXPECT_TRUE(l.seen.empty());
	close(fd);
}
