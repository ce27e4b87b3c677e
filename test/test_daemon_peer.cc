// Framing between nodes.
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
		l.copy = [](const ogl_event *ev, Seen &s) {
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

TEST_F(Peer, MessagesArriveWholeAndInOrderOnOneConnection)
{
	std::string large = packed(std::string(900000, 'x'));

	send_to(ogl_peer_port(p), packed("a"));
	send_to(ogl_peer_port(p), large);
	send_to(ogl_peer_port(p), packed("b"));
	ASSERT_TRUE(l.until([&] { return l.seen.size() == 3; }));
	EXPECT_EQ(packed("a"), l.seen[0].text);
	EXPECT_EQ(large, l.seen[1].text);
	EXPECT_EQ(packed("b"), l.seen[2].text);
	EXPECT_EQ(1u, ogl_peer_counts(p)->connects);
}

// A busy sender's frames come in pieces that end anywhere, also within the
// length.  Were a piece taken for a frame, the peer's view would be garbage.
TEST_F(Peer, FramesInPiecesAreJoined)
{
	std::string two = framed(packed("first")) + framed(packed("second"));
	int fd = dial(ogl_peer_port(p));

	for (char c : two) {
		ASSERT_TRUE(put(fd, std::string(1, c)));
		l.turn();
		ev_run(l.loop, EVRUN_ONCE);
	}
	ASSERT_TRUE(l.until([&] { return l.seen.size() == 2; }));
	EXPECT_EQ(packed("second"), l.seen[1].text);
	close(fd);
}

// Something that speaks another protocol connects to the peer port.  Its
// bytes read as a huge length, which must not make the node reserve memory;
// it sees its connection closed.
TEST_F(Peer, OversizedFrameClosesItsConnection)
{
	int fd = dial(ogl_peer_port(p));

	ASSERT_TRUE(put(fd, "GET / HTTP/1.1\r\n\r\n"));
	ASSERT_TRUE(
	    l.until([&] { return ogl_peer_counts(p)->malformed == 1; }));
	EXPECT_EQ("", get_all(fd));
	EXPECT_TRUE(l.seen.empty());
	close(fd);
}

// A frame of an allowed length holds no message: the stream has lost its
// place.  What follows is not believed, though it may look right.
TEST_F(Peer, GarbageClosesItsConnectionAndNothingAfterItCounts)
{
	int fd = dial(ogl_peer_port(p));

	ASSERT_TRUE(
	    put(fd, framed(std::string(32, '\xff')) + framed(packed("x"))));
	ASSERT_TRUE(
	    l.until([&] { return ogl_peer_counts(p)->malformed == 1; }));
	EXPECT_TRUE(l.seen.empty());
	close(fd);
	fd = dial(ogl_peer_port(p));
	ASSERT_TRUE(put(fd, framed("")));
	ASSERT_TRUE(
	    l.until([&] { return ogl_peer_counts(p)->malformed == 2; }));
	close(fd);
}

// A peer is down for a while and messages pile up.  Memory stays within its
// bound, and what the peer gets once it is back are the newest messages.
TEST_F(Peer, QueueTowardsADeadPeerIsBoundedAndKeepsTheNewest)
{
	uint16_t port;
	int lfd = listen_any(&port);
	std::string first;

	close(lfd);
	for (int i = 0; i < 12; i++)
		send_to(port, packed(std::string(500000, (char)('a' + i))));
	EXPECT_EQ(4u, ogl_peer_counts(p)->dropped);
	ogl_peer *back = ogl_peer_init(
	    l.loop, addr_of(port).c_str(), l.sink(), l.log, nullptr);
	ASSERT_NE(nullptr, back);
	ASSERT_TRUE(l.until([&] { return l.seen.size() == 8; }));
	EXPECT_EQ(packed(std::string(500000, 'e')), l.seen[0].text);
	ogl_peer_end(back);
}

// A peer restarts on the same address: its old connection breaks, and later
// messages reach the new process without anybody's doing.
TEST_F(Peer, ReconnectsAfterAPeerRestarts)
{
	ogl_peer *q =
	    ogl_peer_init(l.loop, "127.0.0.1:0", l.sink(), l.log, nullptr);
	uint16_t port = ogl_peer_port(q);

	send_to(port, packed("before"));
	ASSERT_TRUE(l.until([&] { return l.seen.size() == 1; }));
	ogl_peer_end(q);
	q = ogl_peer_init(
	    l.loop, addr_of(port).c_str(), l.sink(), l.log, nullptr);
	ASSERT_NE(nullptr, q);
	ASSERT_TRUE(l.until([&] {
		send_to(port, packed("after"));
		return l.seen.size() >= 2;
	}));
	EXPECT_EQ(packed("after"), l.seen.back().text);
	ogl_peer_end(q);
}

struct CompressedPeer : Peer {
	CompressedPeer()
	{
		ogl_peer_compress(p);
	}
};

TEST_F(CompressedPeer, MessagesArriveWholeAndInOrder)
{
	std::string large = packed(std::string(900000, 'x'));

	send_to(ogl_peer_port(p), packed("a"));
	send_to(ogl_peer_port(p), large);
	send_to(ogl_peer_port(p), packed("b"));
	ASSERT_TRUE(l.until([&] { return l.seen.size() == 3; }));
	EXPECT_EQ(packed("a"), l.seen[0].text);
	EXPECT_EQ(large, l.seen[1].text);
	EXPECT_EQ(packed("b"), l.seen[2].text);
}

TEST_F(CompressedPeer, MessagesThatAreAlikeTakeFewBytes)
{
	size_t plain = 0;

	for (int i = 0; i < 200; i++) {
		std::string m = packed(
		    "a node of the cell, number " + std::to_string(i % 7));

		plain += m.size();
		send_to(ogl_peer_port(p), m);
	}
	ASSERT_TRUE(l.until([&] { return l.seen.size() == 200; }));
	EXPECT_LT(ogl_peer_counts(p)->bytes_out, plain / 3);
	EXPECT_EQ(ogl_peer_counts(p)->bytes_out, ogl_peer_counts(p)->bytes_in);
}

// Guards against a stream read on with the state of a connection that broke.
TEST_F(CompressedPeer, ReconnectsAfterAPeerRestarts)
{
	ogl_peer *q =
	    ogl_peer_init(l.loop, "127.0.0.1:0", l.sink(), l.log, nullptr);
	uint16_t port = ogl_peer_port(q);

	send_to(port, packed("before"));
	ASSERT_TRUE(l.until([&] { return l.seen.size() == 1; }));
	ogl_peer_end(q);
	q = ogl_peer_init(
	    l.loop, addr_of(port).c_str(), l.sink(), l.log, nullptr);
	ASSERT_NE(nullptr, q);
	ASSERT_TRUE(l.until([&] {
		send_to(port, packed("after"));
		return l.seen.size() >= 2;
	}));
	EXPECT_EQ(packed("after"), l.seen.back().text);
	ogl_peer_end(q);
}

// Guards against a damaged stream whose bytes are taken for messages.
TEST_F(CompressedPeer, ADamagedStreamClosesItsConnection)
{
	int fd = dial(ogl_peer_port(p));

	ASSERT_TRUE(put(fd, "OGLZ" + std::string(64, '\xee')));
	ASSERT_TRUE(
	    l.until([&] { return ogl_peer_counts(p)->malformed == 1; }));
	EXPECT_TRUE(l.seen.empty());
	close(fd);
}
