/*
 * Parses ip:port and opens listening sockets.  Addresses are parsed with
 * inet_pton only.  No name is ever resolved, so a slow or faulty name service
 * can't block the loop.
 */

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <unistd.h>

#include "addr.h"

#define LISTEN_BACKLOG 1024

static bool
parse_port(const char *text, uint16_t *port)
{
	guint64 v;

	if (!g_ascii_string_to_unsigned(text, 10, 0, UINT16_MAX, &v, NULL))
		return false;
	*port = (uint16_t)v;
	return true;
}

bool
ogl_addr_parse(const char *text, struct sockaddr_storage *to, socklen_t *len)
{
	struct sockaddr_in *in = (struct sockaddr_in *)to;
	struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)to;
	char host[INET6_ADDRSTRLEN + 2];
	const char *colon = text != NULL ? strrchr(text, ':') : NULL;
	size_t n;
	uint16_t port;

	if (colon == NULL || !parse_port(colon + 1, &port))
		return false;
	n = (size_t)(colon - text);
	if (n == 0 || n >= sizeof host)
		return false;
	memcpy(host, text, n);
	host[n] = '\0';
	memset(to, 0, sizeof *to);
	if (host[0] == '[' && host[n - 1] == ']') {
		host[n - 1] = '\0';
		in6->sin6_family = AF_INET6;
		in6->sin6_port = htons(port);
		*len = sizeof *in6;
		return inet_pton(AF_INET6, host + 1, &in6->sin6_addr) == 1;
	}
	in->sin_family = AF_INET;
	in->sin_port = htons(port);
	*len = sizeof *in;
	return inet_pton(AF_INET, host, &in->sin_addr) == 1;
}

int
ogl_addr_listen(const char *text, GError **error)
{
	struct sockaddr_storage sa;
	socklen_t len;
	int one = 1;
	int fd = -1;

	if (!ogl_addr_parse(text, &sa, &len)) {
		g_set_error(error, OGL_ERROR, OGL_ERROR_INPUT,
		    "%s is not ip:port", text);
		return -1;
	}
	fd =
	    socket(sa.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		goto fail;
	if (setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one) != 0)
		goto fail;
	if (bind(fd, (struct sockaddr *)&sa, len) != 0)
		goto fail;
	if (listen(fd, LISTEN_BACKLOG) != 0)
		goto fail;
	return fd;
fail:
	g_set_error(error, OGL_ERROR, OGL_ERROR_INPUT, "can't listen on %s: %s",
	    text, g_strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}

uint16_t
ogl_addr_port(int fd)
{
	struct sockaddr_storage sa;
	socklen_t len = sizeof sa;

	if (getsockname(fd, (struct sockaddr *)&sa, &len) != 0)
		return 0;
	if (sa.ss_family == AF_INET6)
		return ntohs(((struct sockaddr_in6 *)&sa)->sin6_port);
	return ntohs(((struct sockaddr_in *)&sa)->sin_port);
}
