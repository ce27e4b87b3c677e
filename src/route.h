/*
 * Private side of routing.
 */

#ifndef OGL_ROUTE_H
#define OGL_ROUTE_H

#include "orioleglade.h"

size_t ogl_route_bytes(const struct ogl_route *r);
/* Memory held, for bench and metrics. */

#endif
