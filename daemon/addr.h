/*
 * Addresses of the form ip:port, with IPv6 addresses in brackets.  Host names
 * are not accepted.
 */
#ifndef OGL_ADDR_H
#define OGL_ADDR_H

#include <sys/socket.h>

#include "orioleglade.h"

bool ogl_addr_parse(
    const char *text, struct sockaddr_storage *to, socklen_t *len);
/* Fills in *to and *len.  Returns false if text is not ip:port with a port of
 * 0 to 65535. */

int ogl_addr_listen(const char *text, GError **error);
/* Returns a non-blocking listening socket, or -1 and sets error. */

uint16_t ogl_addr_port(int fd);
/* Returns the port that the socket is bound to, or 0 on failure. */

#endif
