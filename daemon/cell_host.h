/*
 * Runs a cell node in an event loop: passes what arrives on sockets to the node
 * and carries out the I/O that the node requests.
 */
#ifndef OGL_CELL_HOST_H
#define OGL_CELL_HOST_H

#include "platform.h"

struct ev_loop;
struct ogl_cell_host;

struct ogl_cell_host *ogl_cell_host_init(struct ev_loop *loop,
    const char *settings_path, const struct platform_settings *s,
    GError **error);
/* Opens the listening sockets.  s is used only during the call.  Returns NULL
 * with *error set on failure. */
void ogl_cell_host_end(struct ogl_cell_host *h);

void ogl_cell_host_begin(struct ogl_cell_host *h);
/* Starts the node; to be called before the loop runs. */
void ogl_cell_host_stop(struct ogl_cell_host *h);
/* Begins a graceful shutdown.  Ends ev_run() once it is complete or its time is
 * up. */
void ogl_cell_host_reload(struct ogl_cell_host *h);
/* Reads the settings file again.  Keeps the current settings if it has
 * faults. */

#endif
