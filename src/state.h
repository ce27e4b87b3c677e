/* What a shard's stream says: claims, jobs, request ids, workers in use. */

#ifndef OGL_STATE_H
#define OGL_STATE_H

#include "orioleglade.h"

#define OGL_NO_WORKER UINT32_MAX

enum ogl_task_phase {
	OGL_TASK_WAITING, /* to be started */
	OGL_TASK_PLACED,  /* bound to a worker by the owner */
	OGL_TASK_ENDED    /* for good; see end */
};

struct ogl_task {
	uint8_t phase;    /* enum ogl_task_phase */
	uint8_t end;      /* Ogl__TaskState, valid when ended */
	bool ending;      /* owner: its end is on the way to the log */
	bool running;     /* owner: the worker said that it runs */
	bool stopping;    /* owner: told to stop */
	bool sent;        /* owner: a start of this attempt went out */
	bool intended;    /* an attempt to start it is on the log */
	bool held;        /* owner: waits for that record to take effect */
	uint8_t tries;    /* attempts that failed by themselves */
	uint32_t attempt; /* newest attempt known */
	uint32_t worker;  /* owner: session number while placed */
	ogl_time since;   /* owner: when it began to wait or run */
	uint64_t work;    /* owner: number in the queue, 0 none */
	char *reason;
};

struct ogl_job {
	char *id;
	char *team;
	Ogl__Submit *spec;
	uint64_t accepted_ms;
	uint64_t ended_ms; /* 0 while it lives */
	uint32_t ntasks;
	struct ogl_task *tasks;
	uint32_t nended;
	uint32_t nsucceeded;
	uint32_t nlost;   /* ended without anyone knowing how far they ran */
	uint32_t nplaced; /* owner: tasks bound to workers */
	bool cancelled;
	Ogl__Verdict cancel_verdict;
	char *cancel_reason;  /* ended by its owner, NULL by its caller */
	ogl_time never_since; /* owner: since when no worker could hold it */
	bool cancelling;      /* owner: the cancel is on the way to the log */
	bool inherited;       /* owner: accepted before our claim */
	uint64_t number;      /* owner: for placement and spreading */
};

/* One request id. */
struct ogl_idrec {
	char *id;
	uint64_t at_ms;
	bool has_outcome;
	Ogl__Verdict verdict;
	uint32_t status;
	GBytes *body;
};

struct ogl_state {
	bool complete;  /* all that is retained has been understood */
	uint64_t epoch; /* offset + 1 of the claim in force, 0 none */
	uint32_t claims;
	char *owner;
	uint64_t owner_boot;
	GPtrArray *successors;  /* names */
	GHashTable *jobs;       /* id -> struct ogl_job */
	GHashTable *by_request; /* team/request id -> struct ogl_job */
	GHashTable *referred;   /* team/request id -> Ogl__JobReferred */
	GHashTable *ids;        /* id -> struct ogl_idrec */
	GHashTable *workers;    /* name -> addr: the owner may start there */
	GHashTable *allots;     /* team -> Ogl__Allot */
	/* A snapshot being read. */
	struct ogl_state *building;
	uint64_t building_snap;
	uint32_t building_next;
	uint64_t records; /* applied since the last snapshot */
	/* While incomplete: what the records passed over tell. */
	uint64_t least_epoch; /* the epoch in force is this or newer */
	uint64_t guess_epoch; /* and probably this one */
	uint64_t owner_ms;    /* at_ms of the owner's newest record */
};

/* What the owner wants to know when something takes effect. */
struct ogl_state_hooks {
	void (*claimed)(void *ctx, const Ogl__Record *r, ogl_time now);
	void (*job)(void *ctx, struct ogl_job *j, ogl_time now);
	void (*cancelled)(void *ctx, struct ogl_job *j, ogl_time now);
	/* Before the task's phase changes; `final` tells whether for good. */
	void (*task_ended)(void *ctx, struct ogl_job *j, uint32_t i,
	    const Ogl__TaskEnded *e, ogl_time now);
	void (*intent)(void *ctx, struct ogl_job *j, uint32_t i,
	    uint32_t attempt, ogl_time now);
	void (*referred)(void *ctx, const Ogl__JobReferred *r, ogl_time now);
	void (*id)(void *ctx, struct ogl_idrec *r, ogl_time now);
	void (*worker)(void *ctx, const char *name, bool on, ogl_time now);
	void (*allot)(void *ctx, const Ogl__Allot *a, ogl_time now);
};

struct ogl_state *ogl_state_new(void);
void ogl_state_free(struct ogl_state *st);

void ogl_state_apply(struct ogl_state *st, const Ogl__Record *r,
    uint64_t offset, const struct ogl_state_hooks *hooks, void *ctx,
    ogl_time now);
/* Applies one record if it is valid: a claim made from the epoch in force,
 * or anything else by the owner under its epoch.  hooks may be NULL. */

bool ogl_state_stale(const struct ogl_state *st, const Ogl__Record *r);
/* The record is proof that an epoch newer than ours was in force before it,
 * so that what we hold was built on an owner superseded by then. */

struct ogl_state *ogl_state_anew(const Ogl__Record *r);
/* An empty state to start over with after such a record. */

void ogl_state_prune(
    struct ogl_state *st, uint64_t now_ms, uint32_t id_keep_ms);
/* Forgets jobs long ended and request ids kept long enough. */

void ogl_state_keep_newest(
    struct ogl_state *st, const char *team, uint32_t most, uint64_t before_ms);
/* Forgets ended jobs of the team, oldest first, until at most so many are
 * left; none that ended at before_ms or later. */

GPtrArray *ogl_state_snapshot(const struct ogl_state *st, uint64_t now_ms);
/* The whole state as records (Ogl__Record), ready to be queued. */

bool ogl_job_ended(const struct ogl_job *j);
void ogl_job_view(const struct ogl_job *j, Ogl__JobView *v);
/* Fills in v, borrowing j's strings; task views are left empty. */

bool ogl_answer_is_sane(uint32_t status);
/* Whether it can be an HTTP status; a damaged message may hold any number. */

char *ogl_request_key(const char *team, const char *request_id);
/* Name of a caller's id within the cell; g_free. */

Ogl__Submit *ogl_submit_copy(const Ogl__Submit *s);

#endif
