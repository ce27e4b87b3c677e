/*
 * A whole cell in one process and in virtual time: the nodes that ship, over a
 * fake store, fake workers and a fake advice service that can be made to fail.
 * What must always hold is checked by the fakes as things happen; each breach
 * is a line of fake_cell_breaches.
 */

#ifndef FAKE_CELL_H
#define FAKE_CELL_H

#include "node.h"

#ifdef __cplusplus
extern "C" {
#endif

struct fake_cell;

struct fake_cell_shape {
	unsigned nodes;
	unsigned workers; /* 16 processors and 64 GB each, six a rack, or a
			   * rack each in a cell of several shards */
	unsigned shards;  /* 0 as 1 */
	bool refuses;     /* connections to crashed workers are refused at
			   * once; else calls to them stay unanswered */
	bool unplanned;   /* the nodes decide how many shards there are */
	uint64_t seed;
	bool policy;           /* the queues' steps need advice */
	uint32_t team_cpu_max; /* of the one team, 0 no limit */
	uint32_t team_rate;    /* its jobs a second, 0 more than any */
	uint32_t attempts_max;
	uint32_t link_kbps; /* that each node's link carries either way; 0: all
			     * links are wide */
	unsigned zones;     /* that the workers are dealt out to, 0 as 1 */
	uint32_t advice_worker_ms; /* a question costs for each worker */
	unsigned page; /* records in one answer of newest ones, 0 all */
};

struct fake_cell *fake_cell_init(const struct fake_cell_shape *shape);
void fake_cell_end(struct fake_cell *f);

void fake_cell_run(struct fake_cell *f, uint32_t ms);
/* Lets virtual time pass. */
ogl_time fake_cell_now(const struct fake_cell *f);

/* ---- callers ---------------------------------------------------------- */

/* One step of a job to submit. */
struct fake_step {
	uint32_t count;
	uint32_t cpu;
	uint32_t run_ms; /* how long a task takes */
	int32_t after;   /* the step it comes after, -1 none */
	bool gang;
	bool fails; /* every run ends as failed */
	bool checkpoints;
	bool duplicates;
	bool lasting;
	uint32_t worker_max;
};

void fake_cell_budget(struct fake_cell *f, uint32_t ms);
/* How long callers wait from now on; 3 s at first. */
void fake_cell_rank(struct fake_cell *f, unsigned rank);
/* Jobs go to the queue of that rank from now on, 0 to 2; 0 at first. */
void fake_cell_submit(struct fake_cell *f, unsigned node, const char *id,
    const char *key, const struct fake_step *steps, size_t n);
void fake_cell_cancel(struct fake_cell *f, unsigned node, const char *id);
void fake_cell_ask(struct fake_cell *f, unsigned node, const char *id);

int fake_cell_status(const struct fake_cell *f, const char *id);
/* Last status answered to a submit, cancel or question about the job; -1 while
 * none was. */
const char *fake_cell_state(struct fake_cell *f, const char *id);
/* State told by a node that is up, "none" when no answer comes in 3 s. */
unsigned fake_cell_starts(const struct fake_cell *f, const char *id);
/* Runs that workers have begun for the job. */
unsigned fake_cell_running(const struct fake_cell *f, const char *id);
unsigned fake_cell_running_in(const struct fake_cell *f, const char *zone);
/* Runs of all jobs on the workers of a zone. */

/* ---- nodes ------------------------------------------------------------ */

unsigned fake_cell_link_ms(const struct fake_cell *f, unsigned node);
/* How long what is sent to the node now waits before its link. */
int fake_cell_owner(const struct fake_cell *f, unsigned shard);
/* The node that owns the shard, by its own word; -1 none, -2 several. */
unsigned fake_cell_claims(const struct fake_cell *f, unsigned shard);
/* How often the shard was won so far, first time included. */
unsigned fake_cell_shards(const struct fake_cell *f, unsigned node);
/* How many shards the node knows of; 0 none yet. */
void fake_cell_kill(struct fake_cell *f, unsigned node);
void fake_cell_boot(struct fake_cell *f, unsigned node);
void fake_cell_freeze(struct fake_cell *f, unsigned node, bool on);
void fake_cell_lag(struct fake_cell *f, unsigned node, uint32_t ms);
/* It has so much to do that what is due is looked at only so often; 0 ends
 * it. */
void fake_cell_stop(struct fake_cell *f, unsigned node);
bool fake_cell_ready(const struct fake_cell *f, unsigned node);

/* ---- the store -------------------------------------------------------- */

enum fake_store_fault {
	FAKE_STORE_WELL,
	FAKE_STORE_SILENT, /* takes no call, answers none */
	FAKE_STORE_BUSY,   /* refuses: nothing is done */
	FAKE_STORE_LOSING, /* does half of the writes without an answer */
	FAKE_STORE_LATE    /* the same, and does them seconds later */
};

void fake_cell_store(
    struct fake_cell *f, int node, enum fake_store_fault fault);
/* As one node sees it; node -1: all. */
void fake_cell_revoke(struct fake_cell *f, const char *key);
/* The operator takes a key away. */
void fake_cell_limit(struct fake_cell *f, uint32_t team_cpu_max);
void fake_cell_evacuate(struct fake_cell *f, const char *zone, bool on);
/* The operator evacuates a zone, z1 and so on, or takes it back. */
void fake_cell_forget_settings(struct fake_cell *f);
/* The store drops the history of the settings stream; of each key the newest
 * record stays. */
void fake_cell_forget_lists(struct fake_cell *f);
/* The workers' entries lapse; they come back within 2 s. */
unsigned fake_cell_writes(const struct fake_cell *f);

/* ---- workers ---------------------------------------------------------- */

enum fake_worker_fault {
	FAKE_WORKER_WELL,
	FAKE_WORKER_DARK,    /* cut off, runs on */
	FAKE_WORKER_CRASHED, /* gone with all it ran, entry lapses */
	FAKE_WORKER_FAILING, /* ends every run as failed */
	FAKE_WORKER_LATE,    /* carries orders out seconds later, unanswered */
	FAKE_WORKER_SLOW,    /* what it begins takes six times as long */
	FAKE_WORKER_HANGING  /* what it begins makes no progress */
};

void fake_cell_worker(
    struct fake_cell *f, unsigned worker, enum fake_worker_fault fault);
void fake_cell_reborn(struct fake_cell *f, unsigned worker);
/* Starts anew at once under the same id, with nothing running. */
void fake_cell_drain(struct fake_cell *f, unsigned worker);

/* ---- what was seen ---------------------------------------------------- */

const char *fake_cell_breaches(const struct fake_cell *f);
/* One a line; "" when all held. */
bool fake_cell_settle(struct fake_cell *f, uint32_t ms);
/* Heals everything and waits until each accepted job is over. */

#ifdef __cplusplus
}
#endif

#endif
