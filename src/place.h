/*
 * Parts of placement: the grid of free room, counts for spreading, the
 * record of failures, and the state they share.
 */

#ifndef OGL_PLACE_H
#define OGL_PLACE_H

#include "orioleglade.h"

#define OGL_PLACE_NONE UINT32_MAX /* no worker */

/* ---- grid ------------------------------------------------------------- */

#define OGL_GRID_CLASSES 64 /* size classes a dimension; bits of a mask */

/* What a search reads of a worker, kept small for the cache. */
struct ogl_grid_entry {
	struct ogl_res avail; /* free and not kept for a reservation */
	uint32_t next, prev;  /* in its bucket's list */
	uint32_t rack;
	uint16_t zone;
	uint8_t accel_group; /* by accelerators, see place.c */
	uint8_t row, col;
	bool indexed; /* stands in a bucket */
};

/* Workers by the size classes of their free processors and memory. */
struct ogl_grid {
	uint64_t rows;                     /* rows with a worker */
	uint64_t cols;                     /* columns with a worker */
	uint64_t in_row[OGL_GRID_CLASSES]; /* columns with a worker, by row */
	uint64_t in_col[OGL_GRID_CLASSES]; /* rows with a worker, by column */
	uint32_t *head[OGL_GRID_CLASSES];  /* lists by row then column */
};

/* One search, tightest first in one dimension. */
struct ogl_grid_walk {
	const struct ogl_res *need;
	bool by_mem;          /* order by memory, else by processors */
	unsigned from_class;  /* class to begin at; lower ones come last */
	uint32_t offers_left; /* offers left */
	uint32_t misses_left; /* looks at workers without room left */
	bool skipped;         /* a bucket that may fit was not looked through */
	void (*offer)(void *ctx, uint32_t w);
	void *ctx;
};

void ogl_grid_insert(
    struct ogl_grid *g, struct ogl_grid_entry *entries, uint32_t w);
/* Puts worker w, by its avail, into its bucket. */

void ogl_grid_remove(
    struct ogl_grid *g, struct ogl_grid_entry *entries, uint32_t w);
/* Takes worker w out of its bucket. */

bool ogl_grid_must_move(const struct ogl_grid_entry *s);
/* Whether the avail of an indexed worker now belongs to another bucket. */

void ogl_grid_walk(const struct ogl_grid *g,
    const struct ogl_grid_entry *entries, struct ogl_grid_walk *k);
/* Offers workers whose avail holds the need until offers run out. */

void ogl_grid_clear(struct ogl_grid *g);
size_t ogl_grid_bytes(const struct ogl_grid *g);

/* ---- counts ----------------------------------------------------------- */

/* How many tasks of a job stand in a zone or rack, by hashed key. */
struct ogl_count_entry {
	uint64_t key; /* 0 when empty */
	uint32_t n;
};

struct ogl_counts {
	struct ogl_count_entry *entries;
	uint32_t size; /* power of two */
	uint32_t used;
};

enum ogl_count_scope {
	OGL_COUNT_ZONE = 1,
	OGL_COUNT_RACK
};

void ogl_counts_init(struct ogl_counts *c);
void ogl_counts_clear(struct ogl_counts *c);
uint64_t ogl_counts_key(uint64_t job, enum ogl_count_scope scope, uint32_t id);
uint32_t ogl_counts_get(const struct ogl_counts *c, uint64_t key);
void ogl_counts_add(struct ogl_counts *c, uint64_t key);
void ogl_counts_sub(struct ogl_counts *c, uint64_t key);

/* ---- failures --------------------------------------------------------- */

struct ogl_health; /* what tasks' ends say of workers */

struct ogl_health *ogl_health_init(void);
void ogl_health_end(struct ogl_health *h);

bool ogl_health_result(
    struct ogl_health *h, uint32_t w, uint64_t job, bool ok, ogl_time now);
/* Tells of a task's end; whether the worker should be set aside now. */

ogl_time ogl_health_start_quarantine(
    struct ogl_health *h, uint32_t w, ogl_time now);
/* The worker is set aside; until when. */

void ogl_health_resize(struct ogl_health *h, uint32_t workers);
/* Makes room for the jobs of so many workers. */

size_t ogl_health_bytes(const struct ogl_health *h);

void ogl_health_remove_worker(struct ogl_health *h, uint32_t w);
/* Worker w is gone. */

/* ---- the whole -------------------------------------------------------- */

enum ogl_quarantine {
	OGL_ASIDE_NOT,            /* in use */
	OGL_QUARANTINE_COOLDOWN,  /* gets nothing until its delay is over */
	OGL_QUARANTINE_PROBE_DUE, /* may get one task */
	OGL_QUARANTINE_PROBING    /* has its one task */
};

/* Tasks of one spread job on one worker. */
struct ogl_job_tasks {
	uint64_t job;
	uint32_t n;
};

struct ogl_place_worker {
	char *name;
	struct ogl_res capacity;
	struct ogl_res held;
	struct ogl_res held_by_services; /* part of held that services hold */
	struct ogl_job_tasks *jobs;
	uint16_t njobs, jobs_allocated;
	uint32_t
	    reserved_tasks; /* as struct ogl_reserved_worker has it, while in force */
	ogl_time quarantine_until; /* when the present aside state ends */
	uint8_t aside;             /* enum ogl_quarantine */
	bool known;                /* the number is in use */
	bool open;
	bool in_totals; /* in the sums of ogl_place_room */
};

#define OGL_ACCEL_GROUPS 6 /* see accel_group_of in place.c */

struct ogl_place_zone {
	char *name;
	struct ogl_grid grid[OGL_ACCEL_GROUPS];
	struct ogl_grid racks;    /* by the sums of their workers */
	uint64_t cpu, mem, accel; /* avail over indexed workers */
};

struct ogl_place_rack {
	uint16_t zone;
	uint64_t cpu, mem, accel; /* avail over indexed workers */
	GArray *workers;          /* uint32_t */
	uint32_t last_plan;       /* the last plan that looked at it */
};

/* Tasks of the reserved gang that a worker keeps room for. */
struct ogl_reserved_worker {
	uint32_t w;
	uint32_t tasks;
};

/* The one waiting gang that room is kept for. */
struct ogl_reservation {
	bool active;
	bool worker_lost; /* a chosen worker went away */
	struct ogl_ask ask;
	uint32_t n;
	ogl_time until;
	ogl_time chosen_at; /* when kept was last chosen */
	GArray *workers;    /* struct ogl_reserved_worker */
};

#define OGL_PLACE_NO_FITS 8 /* capacity_counts known to fit nowhere */
#define OGL_GANG_BOUNDS 4   /* capacity_counts known to fit few times */

/* How often a shape fits at most, since a gang of it was refused. */
struct ogl_gang_bound {
	struct ogl_res need;
	uint64_t max_tasks;
};

struct ogl_place {
	struct ogl_grid_entry *entries; /* by worker number */
	struct ogl_place_worker *workers;
	uint32_t n, allocated;
	GArray *free_numbers;       /* uint32_t, numbers to give again */
	GHashTable *worker_by_name; /* name -> number + 1 */
	GPtrArray *zones;           /* struct ogl_place_zone */
	GHashTable *zone_by_name;
	GArray *racks; /* struct ogl_place_rack */
	struct ogl_grid_entry
	    *rack_entries; /* by rack number, in zones' grids */
	GHashTable *rack_by_name;
	GHashTable *capacity_counts; /* capacity -> workers of it */
	struct ogl_counts counts;
	struct ogl_health *health;
	GArray *quarantined; /* uint32_t, workers not in OGL_ASIDE_NOT */
	ogl_time next_quarantine_update;
	uint32_t probes_due; /* workers in OGL_QUARANTINE_PROBE_DUE */
	struct ogl_reservation reserved;
	struct ogl_res no_fits[OGL_PLACE_NO_FITS];
	uint32_t nno_fits;
	struct ogl_gang_bound gang_bounds[OGL_GANG_BOUNDS];
	uint32_t ngang_bounds, next_gang_bound;
	uint32_t plans_made;                        /* made so far */
	uint64_t total_cpu, total_mem, total_accel; /* open workers */
	uint64_t held_cpu, held_mem, held_accel;
	uint64_t random_state;
};

static inline struct ogl_place_zone *
ogl_place_zone_at(const struct ogl_place *p, uint32_t z)
{
	return g_ptr_array_index(p->zones, z);
}

static inline struct ogl_place_rack *
ogl_place_rack_at(const struct ogl_place *p, uint32_t r)
{
	return &g_array_index(p->racks, struct ogl_place_rack, r);
}

static inline bool
ogl_place_known(const struct ogl_place *p, uint32_t w)
{
	return w < p->n && p->workers[w].known;
}

/* Free room of a worker, whoever it is kept for. */
static inline struct ogl_res
ogl_place_free_room(const struct ogl_place_worker *k)
{
	struct ogl_res r = k->capacity;

	ogl_res_sub(&r, &k->held);
	return r;
}

/* ---- place.c ---------------------------------------------------------- */

uint32_t ogl_place_random(struct ogl_place *p);

void ogl_place_allocate(
    struct ogl_place *p, uint32_t w, const struct ogl_ask *ask);
/* Holds room that is known to be there. */

size_t ogl_place_bytes(const struct ogl_place *p);
/* Memory held, for bench and metrics. */

/* ---- place_index.c ---------------------------------------------------- */

uint32_t ogl_place_saturate(uint64_t v);
/* The number, or the largest that 32 bits hold. */

uint32_t ogl_place_tasks_fit(
    const struct ogl_res *need, const struct ogl_res *room);
/* How many such tasks the room holds; UINT32_MAX when they need nothing. */

unsigned ogl_place_first_accel_group(const struct ogl_res *need);
/* The lowest accel_group where the need may fit. */

void ogl_place_reindex(struct ogl_place *p, uint32_t w);
/* Brings the index up to date after worker w changed. */

void ogl_place_unindex(struct ogl_place *p, uint32_t w);
/* Takes a worker out of every index, before it changes as a whole. */

bool ogl_place_known_no_fit(
    const struct ogl_place *p, const struct ogl_res *need);
/* Whether the need is known to fit nowhere now. */

struct ogl_res ogl_place_multiply(const struct ogl_res *r, uint32_t n);
/* n times r, at most the largest that 32 bits hold. */

void ogl_place_rack_reindex(struct ogl_place *p, uint32_t rack);
/* Brings a rack's place in its zone's grid up to date. */

bool ogl_place_gang_known_no_fit(
    const struct ogl_place *p, const struct ogl_res *need, uint32_t n);
/* Whether so many are known not to fit now. */

void ogl_place_note_gang_bound(
    struct ogl_place *p, const struct ogl_res *need, uint64_t most);
/* The need was found to fit so often and no more. */

void ogl_place_note_no_fit(struct ogl_place *p, const struct ogl_res *need);
/* The need was found to fit nowhere. */

/* ---- place_pick.c ----------------------------------------------------- */

struct ogl_place_policy {
	bool (*pick)(
	    struct ogl_place *p, const struct ogl_ask *ask, uint32_t *w);
	bool spreads; /* its jobs' tasks are in_totals by zone and rack */
};

const struct ogl_place_policy *ogl_place_policy(Ogl__Kind kind);

/* ---- place_gang.c ----------------------------------------------------- */

void ogl_place_unreserve_worker(struct ogl_place *p, uint32_t w);
/* Worker w can no longer serve the reservation. */

void ogl_place_expire_reservation(struct ogl_place *p, ogl_time now);
/* Drops a reservation whose deadline has passed. */

/* ---- place_aside.c ---------------------------------------------------- */

void ogl_place_update_quarantine(struct ogl_place *p, ogl_time now);
/* Moves workers on whose delay, or whose long probe task, has come due. */

bool ogl_place_pick_probe(
    struct ogl_place *p, const struct ogl_ask *ask, ogl_time now, uint32_t *w);
/* A worker ready for its probe that has room for the task. */

void ogl_place_end_quarantine(struct ogl_place *p, uint32_t w);
/* Worker w is no longer set aside. */

#endif
