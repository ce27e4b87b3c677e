/*
 * The daemon's settings file in JSON.  All faults in it are reported together,
 * each with its path, the value found and what is allowed there.
 */
#ifndef OGL_CONFIG_H
#define OGL_CONFIG_H

#include "logger.h"
#include "orioleglade.h"

struct ogl_config {
	struct ogl_node_config node; /* refers to the fields below */
	char *name;
	char *addr;
	char *zone;
	char *listen_http;
	char *listen_peer;
	char *platform;
	char **seeds; /* ends with NULL; NULL without seeds */
	enum ogl_log_level log_level;
};

struct ogl_config *ogl_config_parse(
    struct ogl_str text, uint64_t boot, struct ogl_faults *faults);
/* Parses and checks a settings file.  boot is a number that increases
 * with each start of the node.  Returns NULL and adds all faults if there are
 * any. */

struct ogl_config *ogl_config_read(
    const char *path, uint64_t boot, struct ogl_faults *faults);
/* The same, from a file. */

void ogl_config_free(struct ogl_config *c);

#endif
