/* Addresses in the form ip:port (IPv6 in brackets); never a host name. */
#ifndef OGL_ADDR_H
#define OGL_ADDR_H

#include <sys/socket.h>

#include "orioleglade.h"

bool ogl_addr_parse(
    const char *text, struct sockaddr_storage *to, socklen_t *len);
/* False when the text is not ip:port with a port of 0 to 65535. */

int ogl_addr_listen(const char *text, GError **error);
/* A non-blocking listening socket, or -1. */

uint16_t ogl_addr_port(int fd);
/* The port a socket is bound to. */

#endif
