/*
 * Internals of placement: the grid of free room, counts for spreading, and the
 * state they share.
 */

#ifndef OGL_PLACE_H
#define OGL_PLACE_H

#include "policy/health.h"
#include "orioleglade.h"

#define OGL_PLACE_NONE UINT32_MAX /* no worker or rack */

/* ---- grid ------------------------------------------------------------- */

#define OGL_GRID_CLASSES 64 /* size classes per dimension; one mask bit each */

/* What a search reads of a worker or rack; kept small for the cache. */
struct ogl_grid_entry {
	struct ogl_res avail; /* free and not reserved for a gang */
	uint32_t next, prev;  /* in its bucket's list */
	uint32_t rack;
	uint16_t zone;
	uint8_t accel_group; /* see accel_group_of in place_index.c */
	uint8_t row, col;
	bool indexed; /* is in a bucket */
};

/* Workers or racks by the size classes of their free processors and memory. */
struct ogl_grid {
	uint64_t rows; /* mask of rows that hold a worker */
	uint64_t cols; /* mask of columns that hold a worker */
	uint64_t in_row[OGL_GRID_CLASSES]; /* mask of used columns, by row */
	uint64_t in_col[OGL_GRID_CLASSES]; /* mask of used rows, by column */
	uint32_t *head[OGL_GRID_CLASSES];  /* lists by row, then column */
};

/* One search of a grid, in ascending size classes of one dimension. */
struct ogl_grid_walk {
	const struct ogl_res *need;
	bool by_mem;          /* order by memory, else by processors */
	unsigned from_class;  /* class to begin at; lower ones come last */
	uint32_t offers_left; /* 0 ends the search; offer may set it */
	uint32_t misses_left; /* workers without room that may be examined */
	bool skipped;         /* workers that may have room were not examined */
	void (*offer)(void *ctx, uint32_t w);
	void *ctx;
};

void ogl_grid_insert(
    struct ogl_grid *g, struct ogl_grid_entry *entries, uint32_t w);
/* Inserts worker w into the bucket that its avail belongs to. */

void ogl_grid_remove(
    struct ogl_grid *g, struct ogl_grid_entry *entries, uint32_t w);
/* Removes worker w from its bucket. */

bool ogl_grid_must_move(const struct ogl_grid_entry *s);
/* Whether the avail of an indexed worker now belongs to another bucket. */

void ogl_grid_walk(const struct ogl_grid *g,
    const struct ogl_grid_entry *entries, struct ogl_grid_walk *k);
/* Calls offer for workers with room for the need, until offers_left is 0.
 * Buckets whose workers may lack room are skipped once misses_left is 0. */

void ogl_grid_clear(struct ogl_grid *g);
size_t ogl_grid_bytes(const struct ogl_grid *g);

/* ---- counts ----------------------------------------------------------- */

/* The number of a job's tasks in a zone or rack, by hashed key. */
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

/* ---- shared state ----------------------------------------------------- */

enum ogl_quarantine {
	OGL_QUARANTINE_NONE,
	OGL_QUARANTINE_COOLDOWN,  /* gets no tasks until its delay is over */
	OGL_QUARANTINE_PROBE_DUE, /* may be given one task */
	OGL_QUARANTINE_PROBING    /* runs that task */
};

/* The number of a spread job's tasks on one worker. */
struct ogl_job_tasks {
	uint64_t job;
	uint32_t n;
};

struct ogl_place_worker {
	char *name;
	struct ogl_res capacity;
	struct ogl_res held;
	struct ogl_res held_by_services; /* part of held */
	struct ogl_job_tasks *jobs;
	uint16_t njobs, jobs_allocated;
	uint32_t reserved_tasks;   /* gang tasks it reserves room for now */
	ogl_time quarantine_until; /* end of the present state */
	uint8_t quarantine_state;  /* enum ogl_quarantine */
	bool known;                /* the number is in use */
	bool schedulable;
	bool in_totals; /* counted in the sums of struct ogl_place */
};

#define OGL_ACCEL_GROUPS 6 /* see accel_group_of in place_index.c */

struct ogl_place_zone {
	char *name;
	struct ogl_grid grid[OGL_ACCEL_GROUPS];
	struct ogl_grid racks;    /* by the sums of their workers' avail */
	uint64_t cpu, mem, accel; /* sums of avail of indexed workers */
};

struct ogl_place_rack {
	uint16_t zone;
	uint64_t cpu, mem, accel; /* sums of avail of indexed workers */
	GArray *workers;          /* uint32_t */
	uint32_t last_plan; /* plans_made at the last plan that tried it */
};

/* A worker with room reserved for some tasks of a gang. */
struct ogl_reserved_worker {
	uint32_t w;
	uint32_t tasks;
};

/* Room reserved for one waiting gang; there is at most one reservation. */
struct ogl_reservation {
	bool active;
	bool worker_lost;         /* a chosen worker can no longer be used */
	struct ogl_demand demand; /* of each task of the gang */
	uint32_t n;               /* number of tasks of the gang */
	ogl_time until;
	ogl_time chosen_at; /* when the workers were last chosen */
	GArray *workers;    /* struct ogl_reserved_worker */
};

#define OGL_MAX_NO_FITS 8     /* needs remembered that fit nowhere */
#define OGL_MAX_GANG_BOUNDS 4 /* bounds remembered for refused gangs */

/* Upper bound on the tasks with this need that fit at once, noted when a gang
 * was refused. */
struct ogl_gang_bound {
	struct ogl_res need;
	uint64_t max_tasks;
};

struct ogl_place {
	struct ogl_grid_entry *entries; /* by worker number */
	struct ogl_place_worker *workers;
	uint32_t n, allocated;
	GArray *free_numbers;       /* uint32_t, worker numbers to reuse */
	GHashTable *worker_by_name; /* name -> number */
	GPtrArray *zones;           /* struct ogl_place_zone */
	GHashTable *zone_by_name;
	GArray *racks;                       /* struct ogl_place_rack */
	struct ogl_grid_entry *rack_entries; /* by rack number */
	GHashTable *rack_by_name;
	GHashTable *capacity_counts; /* capacity -> number of workers */
	struct ogl_counts counts;
	struct ogl_health *health;
	GArray *quarantined; /* uint32_t, workers not in OGL_QUARANTINE_NONE */
	ogl_time next_quarantine_update;
	uint32_t probes_due; /* workers in OGL_QUARANTINE_PROBE_DUE */
	struct ogl_reservation reserved;
	struct ogl_res no_fits[OGL_MAX_NO_FITS];
	uint32_t no_fit_count;
	struct ogl_gang_bound gang_bounds[OGL_MAX_GANG_BOUNDS];
	uint32_t gang_bound_count, next_gang_bound;
	uint32_t plans_made; /* plans over many racks so far */
	uint64_t total_cpu, total_mem, total_accel; /* over usable workers */
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

/* Free room of a worker, including room reserved for a gang. */
static inline struct ogl_res
ogl_place_free_room(const struct ogl_place_worker *k)
{
	struct ogl_res r = k->capacity;

	ogl_res_sub(&r, &k->held);
	return r;
}

/* ---- place.c ---------------------------------------------------------- */

uint32_t ogl_place_random(struct ogl_place *p);

void ogl_place_take(
    struct ogl_place *p, uint32_t w, const struct ogl_demand *demand);
/* Holds room for a task on worker w; the caller knows that it fits. */

size_t ogl_place_bytes(const struct ogl_place *p);
/* Bytes of memory in use, for benchmarks and metrics. */

/* ---- place_index.c ---------------------------------------------------- */

uint32_t ogl_place_saturate(uint64_t v);
/* v, or UINT32_MAX when it is larger. */

uint32_t ogl_place_tasks_fit(
    const struct ogl_res *need, const struct ogl_res *room);
/* How many such tasks the room holds; UINT32_MAX when they need nothing. */

unsigned ogl_place_first_accel_group(const struct ogl_res *need);
/* The lowest group of workers, by free accelerators, where the need may fit. */

void ogl_place_reindex(struct ogl_place *p, uint32_t w);
/* Brings the index up to date after worker w changed. */

void ogl_place_unindex(struct ogl_place *p, uint32_t w);
/* Removes worker w from every index, before its capacity, zone or rack
 * changes. */

bool ogl_place_known_no_fit(
    const struct ogl_place *p, const struct ogl_res *need);
/* Whether the need is known to fit nowhere now. */

struct ogl_res ogl_place_multiply(const struct ogl_res *r, uint32_t n);
/* n times r, each dimension at most UINT32_MAX. */

void ogl_place_rack_reindex(struct ogl_place *p, uint32_t rack);
/* Brings a rack's bucket in its zone's grid up to date. */

bool ogl_place_gang_known_no_fit(
    const struct ogl_place *p, const struct ogl_res *need, uint32_t n);
/* Whether n tasks with this need are known not to fit now. */

void ogl_place_note_gang_bound(
    struct ogl_place *p, const struct ogl_res *need, uint64_t max_tasks);
/* Notes that no more than max_tasks tasks with this need fit now. */

void ogl_place_note_no_fit(struct ogl_place *p, const struct ogl_res *need);
/* Notes that the need fits on no worker now. */

/* ---- place_pick.c ----------------------------------------------------- */

struct ogl_place_policy {
	bool (*pick)(
	    struct ogl_place *p, const struct ogl_demand *demand, uint32_t *w);
	bool spreads; /* its jobs' tasks are counted by zone and rack */
};

const struct ogl_place_policy *ogl_place_policy(Ogl__Kind kind);

/* ---- place_gang.c ----------------------------------------------------- */

void ogl_place_unreserve_worker(struct ogl_place *p, uint32_t w);
/* Removes worker w from the reservation, which then needs other workers. */

void ogl_place_expire_reservation(struct ogl_place *p, ogl_time now);
/* Ends the reservation if its deadline has passed. */

/* ---- place_aside.c ---------------------------------------------------- */

void ogl_place_update_quarantine(struct ogl_place *p, ogl_time now);
/* Makes a probe due where a cooldown is over, and ends the quarantine where a
 * probe task has run for long enough. */

bool ogl_place_pick_probe(struct ogl_place *p, const struct ogl_demand *demand,
    ogl_time now, uint32_t *w);
/* Picks a worker that has its probe due and room for the task, and marks it
 * as probing; false when there is none. */

void ogl_place_end_quarantine(struct ogl_place *p, uint32_t w);
/* Ends the quarantine of worker w, if there is one. */

#endif
