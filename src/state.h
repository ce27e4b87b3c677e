/* A shard's state, rebuilt from its stream: claims, jobs, ids, workers. */

#ifndef OGL_STATE_H
#define OGL_STATE_H

#include "orioleglade.h"

#define OGL_NO_WORKER UINT32_MAX

enum ogl_task_phase {
	OGL_TASK_WAITING, /* to be started */
	OGL_TASK_PLACED,  /* bound to a worker by the owner */
	OGL_TASK_ENDED    /* never to be started again; see end_state */
};

struct ogl_task {
	uint8_t phase;        /* enum ogl_task_phase */
	uint8_t end_state;    /* Ogl__TaskState, valid in OGL_TASK_ENDED */
	bool end_pending;     /* owner: its end is being appended */
	bool running;         /* owner: the worker reported that it runs */
	bool stopping;        /* owner: it is to be stopped */
	bool start_sent;      /* owner: a start of this attempt was sent */
	bool intent_recorded; /* the log holds the intent to start it */
	bool awaits_intent;   /* owner: start waits for that record */
	uint8_t failures;     /* attempts that ended as failed */
	uint32_t attempt;     /* newest attempt known */
	uint32_t worker;      /* owner: session number while placed */
	ogl_time bound_at;    /* owner: when it was bound to its worker */
	uint64_t work_number; /* owner: number in the queue, 0: not in it */
	char *reason;
};

struct ogl_job {
	char *id;
	char *team;
	Ogl__Submit *spec;
	uint64_t accepted_ms;
	uint64_t ended_ms; /* 0 until it ends */
	uint32_t ntasks;
	struct ogl_task *tasks;
	uint32_t nended;
	uint32_t nsucceeded;
	uint32_t nlost;   /* ended as lapsed: unknown how far they ran */
	uint32_t nplaced; /* owner: tasks bound to workers */
	bool cancelled;
	Ogl__Verdict cancel_verdict;
	char *cancel_reason;       /* why the owner cancelled it, or NULL */
	ogl_time infeasible_since; /* owner: when found infeasible, 0: not */
	bool cancel_pending;       /* owner: the cancel is being appended */
	bool inherited;            /* owner: accepted by an earlier owner */
	uint64_t number;           /* owner: job number for place.c, lend.c */
};

/* A request id and the answer to its request. */
struct ogl_request_id {
	char *id;
	uint64_t at_ms;
	bool has_outcome;
	Ogl__Verdict verdict;
	uint32_t status;
	GBytes *body;
};

struct ogl_state {
	bool complete;  /* read from the stream's start or a snapshot */
	uint64_t epoch; /* offset + 1 of the claim in force, 0: none */
	uint32_t claims;
	char *owner;
	uint64_t owner_boot;
	GPtrArray *successors;  /* names */
	GHashTable *jobs;       /* id -> struct ogl_job */
	GHashTable *by_request; /* team/request id -> struct ogl_job */
	GHashTable *referred;   /* team/request id -> Ogl__JobReferred */
	GHashTable *ids;        /* id -> struct ogl_request_id */
	GHashTable *workers;    /* name -> addr, in use: tasks may run there */
	GHashTable *allots;     /* team -> Ogl__Allot */
	/* The snapshot that is being read, NULL: none. */
	struct ogl_state *partial_snapshot;
	uint64_t partial_number; /* its number, Ogl__ShardSnap.snap */
	uint32_t partial_next_part;
	uint64_t records; /* applied since the last snapshot */
	/* While incomplete: learned from records before the snapshot. */
	uint64_t least_epoch;  /* the epoch in force is at least this */
	uint64_t likely_epoch; /* the epoch in force is probably this */
	uint64_t owner_ms;     /* at_ms of the owner's newest record */
};

/* Called for the owner when a record takes effect. */
struct ogl_state_hooks {
	void (*claimed)(void *ctx, const Ogl__Record *r, ogl_time now);
	void (*job_accepted)(void *ctx, struct ogl_job *j, ogl_time now);
	void (*cancelled)(void *ctx, struct ogl_job *j, ogl_time now);
	/* Called before the task's phase changes. */
	void (*task_ended)(void *ctx, struct ogl_job *j, uint32_t i,
	    const Ogl__TaskEnded *e, ogl_time now);
	void (*start_intended)(void *ctx, struct ogl_job *j, uint32_t i,
	    uint32_t attempt, ogl_time now);
	void (*referred)(void *ctx, const Ogl__JobReferred *r, ogl_time now);
	void (*id_changed)(void *ctx, struct ogl_request_id *r, ogl_time now);
	void (*worker_in_use_changed)(
	    void *ctx, const char *name, bool on, ogl_time now);
	void (*allot_changed)(void *ctx, const Ogl__Allot *a, ogl_time now);
};

struct ogl_state *ogl_state_new(void);
void ogl_state_free(struct ogl_state *st);

void ogl_state_apply(struct ogl_state *st, const Ogl__Record *r,
    uint64_t offset, const struct ogl_state_hooks *hooks, void *ctx,
    ogl_time now);
/* Applies the record at this offset if it is valid: a claim that names the
 * epoch in force, or any other record by the owner under its epoch.  hooks
 * may be NULL; they are called with ctx and now. */

bool ogl_state_stale(const struct ogl_state *st, const Ogl__Record *r);
/* Whether the record proves that an epoch newer than st's was in force when
 * it was written, so that st is the state of a superseded owner. */

struct ogl_state *ogl_state_new_after(const Ogl__Record *r);
/* Returns an empty, incomplete state to replace one that r proved stale. */

void ogl_state_prune(
    struct ogl_state *st, uint64_t now_ms, uint32_t id_keep_ms);
/* Removes jobs that ended more than an hour ago, request ids older than
 * id_keep_ms and referrals older than a day. */

void ogl_state_keep_newest(struct ogl_state *st, const char *team,
    uint32_t max_jobs, uint64_t before_ms);
/* Removes ended jobs of the team, oldest first, until at most max_jobs are
 * left; jobs that ended at before_ms or later are kept. */

GPtrArray *ogl_state_snapshot(const struct ogl_state *st, uint64_t now_ms);
/* Returns the whole state as new Ogl__Records, the parts of one snapshot in
 * order, to be appended to the stream.  now_ms becomes its number. */

bool ogl_job_ended(const struct ogl_job *j);
void ogl_job_view(const struct ogl_job *j, Ogl__JobView *v);
/* Fills in v, borrowing j's strings; task views are left empty. */

bool ogl_http_status_is_valid(uint32_t status);
/* Whether status can be an HTTP status.  A damaged message may hold any
 * number. */

char *ogl_request_key(const char *team, const char *request_id);
/* Combines a team and its request id into a key that is unique in the cell.
 * The caller frees it with g_free. */

Ogl__Submit *ogl_submit_copy(const Ogl__Submit *s);

#endif
