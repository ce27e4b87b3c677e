/*
 * A cell node on the loop: turns sockets into calls of the node and its wishes
 * into sockets.
 */
#ifndef OGL_CELL_HOST_H
#define OGL_CELL_HOST_H

#include "platform.h"

struct ev_loop;
struct ogl_cell_host;

struct ogl_cell_host *ogl_cell_host_init(struct ev_loop *loop,
    const char *settings_path, const struct platform_settings *s,
    GError **error);
/* Listens; the settings are borrowed for the call. */
void ogl_cell_host_end(struct ogl_cell_host *h);

void ogl_cell_host_begin(struct ogl_cell_host *h);
/* Takes up work: to be called before the loop runs. */
void ogl_cell_host_stop(struct ogl_cell_host *h);
/* Begins a graceful shutdown; the loop is broken once it is complete. */
void ogl_cell_host_reload(struct ogl_cell_host *h);
/* Reads the settings file again. */

#endif
