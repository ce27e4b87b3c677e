/*
 * A connection may go silent without being closed, and then all others to its
 * host that were idle at that time may have, too.  When a request on a reused
 * connection gets no byte until its timeout, those idle connections are shut
 * down that have carried no answer since the request was sent, so that the next
 * request opens a new one.  A running number of sendings and answers tells which
 * of the two came first.
 *
 * A host that accepts a limited number of connections turns others away.  While
 * it does, requests wait for the connections that have carried an answer, and
 * from time to time one of them tries a new connection.  The connections that
 * work are all that there is, so none is shut down for being idle or suspect.
 */

#include <glib.h>
#include <sys/socket.h>

#include "host_conns.h"

/* When a new connection is tried after one that was turned away: while none
 * works, and while some do, at first and at last. */
#define RETRY_DELAY_NONE_WORKS (100 * OGL_MS)
#define RETRY_DELAY_FIRST (1 * OGL_SEC)
#define RETRY_DELAY_MAX (8 * OGL_SEC)

struct ogl_conn {
	struct ogl_host_conns *host;
	int fd;
	int port;                         /* local one */
	struct ogl_conn_request *request; /* NULL: idle */
	uint64_t answer_number;           /* of its last answer, 0 none yet */
	ogl_time idle_since;
	bool shut;
};

struct ogl_host_conns {
	const struct ogl_host_limits *limits;
	GPtrArray *conns;  /* struct ogl_conn */
	unsigned requests; /* on their way */
	unsigned ordinary; /* of these, the ones that are not urgent */
	uint64_t number;   /* counts sendings and answers */
	unsigned releases; /* number of calls of ogl_host_conns_release */
	bool turns_away;   /* accepts no more connections */
	ogl_time retry_delay;
	ogl_time retry_at; /* when to try a new one */
};

struct ogl_host_conns *
ogl_host_conns_init(const struct ogl_host_limits *limits)
{
	struct ogl_host_conns *h = g_new0(struct ogl_host_conns, 1);

	h->limits = limits;
	h->conns = g_ptr_array_new();
	return h;
}

void
ogl_host_conns_end(struct ogl_host_conns *h)
{
	g_ptr_array_unref(h->conns);
	g_free(h);
}

/* ---- connections ------------------------------------------------------ */

struct ogl_conn *
ogl_host_conns_add(
    struct ogl_host_conns *h, int fd, int port, struct ogl_conn_request *r)
{
	struct ogl_conn *c = g_new0(struct ogl_conn, 1);

	ogl_conn_request_drop(r);
	c->host = h;
	c->fd = fd;
	c->port = port;
	c->request = r;
	r->conn = c;
	g_ptr_array_add(h->conns, c);
	return c;
}

void
ogl_conn_remove(struct ogl_conn *c)
{
	if (c->request != NULL)
		c->request->conn = NULL;
	g_ptr_array_remove_fast(c->host->conns, c);
	g_free(c);
}

/* Returns the number of connections that have carried an answer and have not been
 * shut down. */
static unsigned
count_working(const struct ogl_host_conns *h)
{
	unsigned n = 0;
	guint i;

	for (i = 0; i < h->conns->len; i++) {
		const struct ogl_conn *c = h->conns->pdata[i];

		n += !c->shut && c->answer_number > 0;
	}
	return n;
}

bool
ogl_host_conns_working(const struct ogl_host_conns *h)
{
	return count_working(h) > 0;
}

bool
ogl_host_conns_may_wait(
    const struct ogl_host_conns *h, const struct ogl_conn_request *r)
{
	return r->releases == h->releases && count_working(h) > 0;
}

bool
ogl_host_conns_in_use(const struct ogl_host_conns *h)
{
	guint i;

	for (i = 0; i < h->conns->len; i++) {
		const struct ogl_conn *c = h->conns->pdata[i];

		if (!c->shut)
			return true;
	}
	return h->requests > 0;
}

bool
ogl_host_conns_unused(const struct ogl_host_conns *h)
{
	return h->requests == 0 && h->conns->len == 0;
}

/* ---- idle connections ------------------------------------------------- */

/* The descriptor is libcurl's, which closes the connection when it finds that
 * it has ended. */
static void
shut_down(struct ogl_conn *c)
{
	c->shut = true;
	shutdown(c->fd, SHUT_RDWR);
}

/* Shuts down the idle connections whose last answer came before the sending of
 * this number. */
static void
shut_suspects(struct ogl_host_conns *h, uint64_t sending)
{
	guint i;

	for (i = 0; i < h->conns->len; i++) {
		struct ogl_conn *c = h->conns->pdata[i];

		if (c->request == NULL && !c->shut &&
		    c->answer_number < sending)
			shut_down(c);
	}
}

void
ogl_host_conns_release(struct ogl_host_conns *h)
{
	guint i;

	h->releases++;
	for (i = 0; i < h->conns->len; i++) {
		struct ogl_conn *c = h->conns->pdata[i];

		if (c->request == NULL && !c->shut)
			shut_down(c);
	}
}

void
ogl_host_conns_shut_old(struct ogl_host_conns *h, ogl_time now)
{
	guint i;

	if (h->turns_away)
		return;
	for (i = 0; i < h->conns->len; i++) {
		struct ogl_conn *c = h->conns->pdata[i];

		if (c->request == NULL && !c->shut &&
		    now - c->idle_since > h->limits->idle_max)
			shut_down(c);
	}
}

/* ---- requests --------------------------------------------------------- */

bool
ogl_host_conns_may_send(
    const struct ogl_host_conns *h, bool urgent, ogl_time now)
{
	if (h->requests >= h->limits->requests_max)
		return false;
	if (!urgent && h->ordinary >= h->limits->ordinary_max)
		return false;
	if (!h->turns_away)
		return true;
	return h->requests < count_working(h) + (now >= h->retry_at);
}

ogl_time
ogl_host_conns_retry_at(const struct ogl_host_conns *h, ogl_time now)
{
	return h->turns_away && now < h->retry_at ? h->retry_at : OGL_NEVER;
}

void
ogl_host_conns_begin(
    struct ogl_host_conns *h, struct ogl_conn_request *r, bool urgent)
{
	r->urgent = urgent;
	r->releases = h->releases;
	h->requests++;
	h->ordinary += !urgent;
}

static struct ogl_conn *
find_idle(const struct ogl_host_conns *h, int port)
{
	guint i;

	for (i = 0; i < h->conns->len; i++) {
		struct ogl_conn *c = h->conns->pdata[i];

		if (c->port == port && c->request == NULL)
			return c;
	}
	return NULL;
}

void
ogl_host_conns_sending(
    struct ogl_host_conns *h, struct ogl_conn_request *r, int port)
{
	if (r->conn == NULL) {
		r->conn = find_idle(h, port);
		if (r->conn != NULL)
			r->conn->request = r;
	}
	r->sending = ++h->number;
}

void
ogl_conn_request_drop(struct ogl_conn_request *r)
{
	if (r->conn == NULL)
		return;
	r->conn->request = NULL;
	r->conn = NULL;
}

static void
make_idle(struct ogl_host_conns *h, struct ogl_conn_request *r, bool answered,
    ogl_time now)
{
	struct ogl_conn *c = r->conn;

	ogl_conn_request_drop(r);
	if (c == NULL)
		return;
	c->idle_since = now;
	if (answered)
		c->answer_number = ++h->number;
	if (r->releases != h->releases)
		shut_down(c);
}

static ogl_time
next_retry_delay(const struct ogl_host_conns *h)
{
	if (count_working(h) == 0)
		return RETRY_DELAY_NONE_WORKS;
	if (!h->turns_away)
		return RETRY_DELAY_FIRST;
	return CLAMP(2 * h->retry_delay, RETRY_DELAY_FIRST, RETRY_DELAY_MAX);
}

static void
note_turned_away(struct ogl_host_conns *h, ogl_time now)
{
	/* Failures of attempts made at the same time count once. */
	if (h->turns_away && now < h->retry_at)
		return;
	h->retry_delay = next_retry_delay(h);
	h->turns_away = true;
	h->retry_at = now + h->retry_delay;
}

/* A host to which no connection works or comes up is down or cut off, so that
 * nothing is gained by waiting. */
void
ogl_host_conns_finish(struct ogl_host_conns *h, struct ogl_conn_request *r,
    enum ogl_conn_outcome outcome, ogl_time now)
{
	bool is_new = r->conn != NULL && r->conn->answer_number == 0;

	h->requests--;
	h->ordinary -= !r->urgent;
	make_idle(h, r, outcome == OGL_CONN_ANSWERED, now);
	/* Those that work may be the last ones while the host is known to take
	 * no others. */
	if (outcome == OGL_CONN_SILENT &&
	    (!h->turns_away || now >= h->retry_at))
		shut_suspects(h, r->sending);
	if (outcome == OGL_CONN_RESET ||
	    (outcome == OGL_CONN_REFUSED && count_working(h) > 0))
		note_turned_away(h, now);
	else if (outcome == OGL_CONN_REFUSED ||
		 (outcome == OGL_CONN_ANSWERED && is_new))
		h->turns_away = false;
}
