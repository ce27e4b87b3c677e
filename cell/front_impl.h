/*
 * The state of a front end, and what its files use of each other.
 */

#ifndef OGL_CELL_FRONT_IMPL_H
#define OGL_CELL_FRONT_IMPL_H

#include "front.h"
#include "hints.h"
#include "window.h"

#define RETRY_DELAY (150 * OGL_MS)

/* Who owns a shard. */
struct shard_owner {
	char *addr;     /* NULL: none is known */
	uint64_t epoch; /* epoch of its ownership */
	struct cell_window window;
	/* The owner refuses some new jobs, so a job is sent only after the
	 * owner has asked for it. */
	bool asks_first;
	struct cell_hints hints; /* what it would refuse */
	ogl_time used_at;        /* last call for the shard */
};

/* State of reading the newest record of each key, page by page. */
struct listing {
	char *after;  /* last key of the last page, NULL before the first */
	uint64_t end; /* end of the stream at the first page */
	/* When the first page was asked for. */
	ogl_time requested_at;
	GPtrArray *zones; /* names of evacuated zones found so far */
};

struct cell_front {
	const struct cell_ops *ops;
	const struct cell_limits *limits;
	struct cell_front_events events;
	uint32_t shards; /* 0 not known yet */
	struct shard_owner owners[CELL_SHARDS_MAX];
	GHashTable *calls; /* token -> struct pending_call */

	struct cell_config *config;
	GBytes *record; /* record that config was decoded from */
	struct cell_zones *zones;
	struct listing listing;
	bool loaded;  /* a listing is complete; later records are read */
	bool reading; /* a read is under way */
	uint64_t next_offset;  /* offset to read from */
	ogl_time next_read_at; /* no read is sent before this time */
	ogl_time read_sent_at; /* time of sending the last read */
	ogl_time last_read_ok; /* time of the last good answer */
	ogl_time fresh_as_of;  /* when config was last known the newest */
	ogl_time read_as_of;   /* the same, as shown by this node's reads */
	bool quiet;            /* see cell_front_set_quiet */
	bool informs;          /* see cell_front_set_informs */
	/* Since when a peer has been known to have read further; 0: none has */
	ogl_time behind_since;
	bool stale_logged;
};

/* ---- front_settings.c ------------------------------------------------- */

void cell_front_read_settings(struct cell_front *f, ogl_time now);
/* Starts a read of the settings stream if one is due. */

#endif
