/*
 * Random traces of work for two deployments, generated from a seed.
 */

#ifndef OGL_LIB_TRACE_H
#define OGL_LIB_TRACE_H

#include "orioleglade.h"

enum trace_cell {
	TRACE_REPAIR, /* Al-Hima: repair-orders and its batch work */
	TRACE_HUB,    /* Fællesplatformen: order-hub and its batch work */
	TRACE_CELLS
};

enum trace_part {
	TRACE_EXECUTORS, /* requests to 50 executors of 8 slots */
	TRACE_WORKERS,   /* tasks on 50 workers of 16 processors */
	TRACE_PARTS
};

/* Behaviour of the first team.  All other teams behave normally. */
enum trace_behaviour {
	TRACE_NORMAL,
	TRACE_FLOOD,  /* submits FLOOD_FACTOR times its work */
	TRACE_SPLIT,  /* splits each item of long work into ten */
	TRACE_RENAME, /* gives each item a new label */
	TRACE_REPEAT, /* sends three copies, two cancelled when one starts */
	TRACE_BEHAVIOURS
};

struct trace_work {
	ogl_time at;
	ogl_time run;         /* true run time */
	uint64_t declared_ms; /* run time declared by the caller; 0 for none */
	uint32_t team;
	uint32_t label;
	Ogl__Kind kind;
	struct ogl_res res;
	bool is_short;
	uint32_t group; /* of copies, one of which runs; 0 for none */
};

struct trace_team {
	const char *path;
	double share;
	double demand; /* part of the offered load; 0 for an inner node */
};

struct trace_spec {
	enum trace_cell cell;
	enum trace_part part;
	enum trace_behaviour behaviour;
	double load; /* offered work as a multiple of capacity */
	uint64_t seed;
};

struct trace {
	struct trace_work *works; /* ordered by arrival */
	size_t nworks;
	const struct trace_team *teams; /* parents precede children */
	size_t nteams;
	uint32_t nservers;
	struct ogl_res server;
	ogl_time length;
};

struct trace *trace_make(const struct trace_spec *spec);
void trace_free(struct trace *t);

#endif
