/*
 * Traces of work for the two deployments of today, made from a seed.
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

/* What the first team does; the others always behave. */
enum trace_conduct {
	TRACE_HONEST,
	TRACE_FLOOD,  /* sends FLOOD_TIMES its work */
	TRACE_SPLIT,  /* sends each long piece as ten short ones */
	TRACE_RENAME, /* a new label on each piece */
	TRACE_REPEAT, /* each piece thrice, two cancelled once one starts */
	TRACE_CONDUCTS
};

struct trace_work {
	ogl_time at;
	ogl_time run;         /* true run time */
	uint64_t declared_ms; /* what the caller says; 0 nothing */
	uint32_t team;
	uint32_t label;
	Ogl__Kind kind;
	struct ogl_res res;
	bool is_short;
	uint32_t group; /* pieces of which one is to run; 0 alone */
};

struct trace_team {
	const char *path;
	double share;
	double demand; /* of the cell's offered load; 0 for an inner node */
};

struct trace_spec {
	enum trace_cell cell;
	enum trace_part part;
	enum trace_conduct conduct;
	double load; /* offered work over capacity */
	uint64_t seed;
};

struct trace {
	struct trace_work *works; /* by time */
	size_t nworks;
	const struct trace_team *teams; /* parents first */
	size_t nteams;
	uint32_t nservers;
	struct ogl_res server;
	ogl_time length;
};

struct trace *trace_make(const struct trace_spec *spec);
void trace_free(struct trace *t);

#endif
