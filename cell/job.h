/*
 * Jobs in the memory of a shard's owner.  Each step becomes a stage, in a
 * repeated job one for each occurrence.  A stage has tasks.  A task has at most
 * one run at a time and, where the step allows it, a second one, its copy.
 *
 * A job is stored as two records: the submission (key 's' and the id), written
 * once, and the progress (key 'p' and the id), written whenever it changes.
 * Once the job has ended, only the progress is kept, for as long as callers may
 * ask for it.
 */

#ifndef OGL_CELL_JOB_H
#define OGL_CELL_JOB_H

#include "ops.h"

struct cell_line;
struct cell_queue;
struct cell_run;
/* Failed runs of a task whose numbers are kept; the others are counted. */
#define CELL_FAILED_RUNS_MAX 64

struct cell_worker;
struct cell_job;
struct ogl_share_queue;
struct ogl_share_team;

/*
 * The failed runs of a task.  A count alone is not enough: a new owner receives
 * the ends of several runs in any order, and again if the last owner stored but
 * did not acknowledge them.
 */
struct cell_failures {
	GArray *runs; /* uint64_t, the highest numbers, ascending */
	uint32_t others;
	/* Highest number that an earlier owner stored, 0 none.  A number up to
	 * this that is below all in runs counts as among the others. */
	uint64_t restored_max;
};

struct cell_task {
	bool done;
	struct cell_failures *failures; /* NULL none */
	uint64_t run;                   /* highest run number used */
	char *checkpoint;               /* NULL none */
	struct cell_run *active;        /* NULL: this owner knows of no run */
	struct cell_run *copy; /* second run, where the step allows it */
	/* An earlier owner started it, and it may still run on a worker that
	 * has not answered since the takeover. */
	bool assumed_running;
	bool assumed_begun;  /* and no record says that this run has ended */
	char *avoid_worker;  /* worker of the last failed run; NULL none */
	ogl_time not_before; /* earliest start */
	uint32_t silent_workers; /* silent workers on which it may run */
	uint32_t move_count;     /* times it was stopped to run elsewhere */
	ogl_time preempted_at;   /* last stop for work of rank 0; 0 never */
};

/* The policy's approval of a worker for a stage. */
struct cell_approval {
	uint32_t worker; /* serial number */
	char *ticket;
	ogl_time expires;     /* the ticket counts as expired from then on */
	uint64_t incarnation; /* worker's incarnation for which it is valid */
	ogl_time received_at;
	ogl_time valid_until; /* the ticket is refused from then on */
};

/* Why tasks of a stage that is ready are not running. */
enum cell_wait {
	CELL_WAIT_NONE,       /* they run, or were not tried yet */
	CELL_WAIT_STORE,      /* the submission is not stored yet */
	CELL_WAIT_SETTLE,     /* an earlier owner may have started them */
	CELL_WAIT_LIMIT,      /* the team's limit is reached */
	CELL_WAIT_ADVICE,     /* the policy has not answered yet */
	CELL_WAIT_TICKET,     /* tickets of workers with room have expired */
	CELL_WAIT_ROOM,       /* no allowed worker has room */
	CELL_WAIT_WORKER_MAX, /* workers with room run worker_max of its tasks */
	CELL_NWAITS
};

/* How long a job has waited for each reason, and has run (CELL_WAIT_NONE), see
 * account.h. */
struct cell_job_clock {
	ogl_time since; /* `cause` holds since then */
	enum cell_wait cause;
	ogl_time spent[CELL_NWAITS];
};

struct cell_stage {
	struct cell_job *job;
	uint32_t occurrence;
	uint32_t step;
	const Ogl__CellStep *def; /* borrowed from the job */
	struct cell_task *tasks;
	uint32_t ntasks;
	uint32_t ndone;
	uint32_t nactive; /* tasks with a run */
	GQueue *queue;    /* the scheduler's list it is in; NULL none */
	GList link;
	GArray *approvals; /* struct cell_approval */
	/* Serials of workers that the policy has answered for -> their
	 * appearance then, see cell_advice_knows. */
	GHashTable *asked;
	bool asking;       /* a question for the stage is pending */
	ogl_time asked_at; /* when its last question was sent; 0 none */
	enum cell_wait wait_reason; /* reason last logged */
	ogl_time wait_since;
	ogl_time blocked_since;   /* when placing it first failed; 0: placed */
	ogl_time tried_at;        /* last pass that tried to place it; 0 none */
	ogl_time stall_logged_at; /* last line that it is stalled; 0 none */
	/* Since when it waits while nothing of its job runs, 0 not; for a
	 * lasting step, since when it waits. */
	ogl_time idle_since;
};

struct cell_occurrence {
	uint32_t number;
	ogl_time due; /* wall clock, microseconds */
	struct cell_stage *stages;
	uint32_t nstages_done;
};

/* Expected run times of a step, see learned.h. */
struct cell_expected_step {
	double run_ms;
	double chain_from_ms; /* longest chain from the step on */
	double first_ms;      /* first estimate of run_ms; 0 none yet */
};

struct cell_expected {
	ogl_time updated_at;
	bool known; /* the queue has enough samples; else all below is 0 */
	double chain_ms;
	struct cell_expected_step steps[];
};

/* Runs of one step that the job no longer needs and that may not be over. */
struct cell_stopping {
	uint32_t step;
	uint32_t count;
	uint32_t assumed;    /* of these, charged to the team without a run */
	struct ogl_res need; /* of one task */
};

struct cell_job {
	char id[CELL_ID_LEN + 1];
	Ogl__CellJob *def; /* NULL once the job has ended */
	Ogl__CellJobState state;
	GPtrArray *occurrences; /* struct cell_occurrence, unfinished */
	uint32_t next_occurrence;
	GArray *finished;  /* uint32_t, numbers of finished occurrences */
	ogl_time accepted; /* node clock */
	struct cell_job_clock clock;
	/* Since when nothing of it runs that could; 0: not so, see stall.c. */
	ogl_time idle_since;
	/* Its place among jobs of its rank: when it was accepted, or first
	 * refused if its caller came back in its return slot. */
	ogl_time waits_since;
	uint64_t ended_ms; /* wall clock */
	bool begun;        /* a run of it has begun */
	bool stored;       /* the submission is stored */
	bool beyond_rate;  /* submitted beyond its team's rate */
	bool dirty;        /* waits in the journal to be stored */
	bool write_def;    /* the submission has to be written */
	bool drop_def;     /* the submission has to be dropped */
	bool drop_records; /* both records have to be dropped */
	/* If its progress is split (job_record.c), what is stored of it; NULL
	 * otherwise. */
	GHashTable *parts;
	/* Lines in which it waits, see forecast.h; NULL not looked up yet. */
	struct cell_line *line;
	struct cell_line *team_line; /* while its team's limit is reached */
	/* Where its runs are charged (see share.h), and the generation in which
	 * that was looked up. */
	struct ogl_share_team *share_team;
	struct ogl_share_queue *share_queue;
	uint64_t share_generation;
	bool placed;            /* this owner has started a run of it */
	ogl_time expected_wait; /* for the first start, when it was submitted */
	/* The same by the capacity; valid if has_expected_start. */
	ogl_time expected_start;
	bool has_expected_start;
	bool waited_for_limit;  /* which the capacity does not foresee */
	const char *refused_by; /* rule that refused it; NULL none */
	struct cell_line *refused_line; /* in which its caller returns */
	double cpu_seconds;    /* processor seconds declared, all steps */
	double chain_ms;       /* longest chain of declared run times */
	double *chain_from_ms; /* longest such chain from each step on */
	struct cell_expected *expected; /* learned; NULL never updated */
	double *measured_ms; /* longest finished run of each step; 0 none */
	bool end_stored;     /* the end is stored, so callers may see it */
	/* Whose it is.  Team "": submitted without a key, or it ended under an
	 * earlier version, which did not record it.  Queue "": not known, since
	 * the job ended under an earlier owner. */
	char *team;
	char *queue_name;
	/* What may run on though it is not needed, so that a successor counts
	 * it for the team: struct cell_stopping; NULL none. */
	GArray *stopping;
	bool ended_here;                 /* ended under this owner */
	uint64_t queue_config_version;   /* version of queue_config */
	struct cell_queue *queue_config; /* NULL not looked up yet */
	/* Whether tasks without a known run may be started, because this owner
	 * accepted the job or all workers have answered since the takeover. */
	bool settled;
};

bool cell_id_valid(struct ogl_str id);
/* Whether id is CELL_ID_LEN hexadecimal digits of either case. */

bool cell_job_def_valid(const Ogl__CellJob *def, const char **why);
/* Checks what a caller has submitted: the number of steps, their counts, that
 * each depends only on earlier ones, and the size; if not valid, sets *why to
 * the reason. */
bool cell_job_def_storable(const Ogl__CellJob *def, const char **why);
/* The same for a job that is complete, whose record is written as it is now:
 * the size is that of the record.  No job is accepted without this check, and
 * no later one may reject its record. */
bool cell_job_def_readable(const Ogl__CellJob *def);
/* Whether an owner can serve the job of a record that was read.  Bounds that
 * hold for submissions may be exceeded. */

bool cell_job_def_open_ended(const Ogl__CellJob *def);
/* Whether the job is repeated or lasts until it is cancelled.  Such a job is of
 * use whenever it starts. */

struct cell_job *cell_job_new(Ogl__CellJob *def, ogl_time now);
/* Takes ownership of def; now is the time of acceptance. */
struct cell_job *cell_job_new_ended(const char *id, const Ogl__CellProgress *p);
/* Makes a job that has already ended, without its submission. */
void cell_job_free(struct cell_job *j);

struct cell_occurrence *cell_job_begin_occurrence(
    struct cell_job *j, uint32_t number, ogl_time due);
/* Makes an occurrence with its stages; returns the existing one if it has begun
 * already.  due: wall clock. */

struct cell_occurrence *cell_job_occurrence(
    const struct cell_job *j, uint32_t number);
/* The occurrence with that number; NULL if it has not begun or is finished. */

void cell_job_finish_occurrence(struct cell_job *j, struct cell_occurrence *o);
/* Marks the occurrence as finished, as all its tasks are done, and frees it. */

bool cell_job_occurrence_finished(const struct cell_job *j, uint32_t number);

struct ogl_res cell_stage_need(const struct cell_stage *s);
/* Resources that one task uses.  A step with `fills` uses only processor time
 * that others leave unused, so no processor time is counted for its tasks. */

void cell_stage_delay_start(
    struct cell_stage *s, uint32_t index, ogl_time until);
/* The task may be running on a silent worker, so it is not started before
 * `until`.  A gang is delayed as a whole. */
void cell_stage_end_delay(struct cell_stage *s, uint32_t index, ogl_time now);
/* Ends one delay; after the last one the task may be started. */

struct cell_approval *cell_stage_approval(
    const struct cell_stage *s, uint32_t worker);
/* The approval of the worker with that serial number; NULL if the policy did
 * not approve it or was not asked.  The pointer is valid until the next answer
 * is stored. */

bool cell_stage_ready(const struct cell_stage *s);
/* Whether all steps that it depends on are done. */

uint32_t cell_stage_waiting(const struct cell_stage *s);
/* Tasks that are neither done nor running. */

bool cell_job_state_ended(Ogl__CellJobState s);
/* Whether the state is completed, failed or cancelled. */

struct cell_stage *cell_job_stage(
    const struct cell_job *j, const struct cell_task_name *name);
/* The stage of a task; NULL when there is no such task. */

GBytes *cell_job_pack_def(const struct cell_job *j);
size_t cell_job_def_record_bytes(const Ogl__CellJob *def);
/* Size of the submission's record, with its key, as the store counts it. */
GBytes *cell_job_pack_progress(const struct cell_job *j);
/* The whole progress, of any size. */
bool cell_job_write_progress(
    struct cell_job *j, GArray *puts, size_t *bytes, size_t room);
/* Adds the records of the progress that have changed to puts (struct cell_put)
 * and their size to bytes.  Returns false if bytes would exceed room: the rest is
 * to be written by the next append. */
bool cell_job_drop_progress(
    struct cell_job *j, GArray *puts, size_t *bytes, size_t room);
/* The same with the deletion of all these records. */
void cell_job_forget_part(struct cell_job *j, uint64_t number);
/* To be called when the append with that part was refused: the next one has it
 * again. */

bool cell_job_part_key_parse(
    const char *key, char id[CELL_ID_LEN + 1], uint64_t *number);
/* Whether the key is that of a part of a split progress. */
void cell_progress_add_part(
    Ogl__CellProgress *p, uint64_t number, Ogl__CellProgress *part);
/* Adds a part to the progress, and moves its contents there if that is split;
 * otherwise the part is left over from an earlier time. */
void cell_job_restore_progress(struct cell_job *j, const Ogl__CellProgress *p);
void cell_job_restore_stopping(struct cell_job *j, const Ogl__CellProgress *p);
/* Restores the progress that an earlier owner stored.  Runs are not created. */

struct cell_task *cell_stage_shared_task(struct cell_stage *s, uint32_t index);
/* The task in which the failed runs, checkpoint and earliest start are kept.
 * All members of a gang share those of its first task. */

void cell_task_save_checkpoint(struct cell_task *t, const char *checkpoint);
/* Replaces the checkpoint; an empty one or NULL changes nothing. */

bool cell_task_run_failed(const struct cell_task *t, uint64_t run);
bool cell_task_record_failure(struct cell_task *t, uint64_t run);
/* Records a failed run; false when it was recorded before. */
void cell_task_restore_failures(
    struct cell_task *t, const uint64_t *runs, size_t n, uint32_t others);
/* Takes the failed runs of a task's record: the numbers that were kept, and how
 * many others there are. */
uint32_t cell_task_failures(const struct cell_task *t);
/* Number of failed runs. */

void cell_job_record_run_ms(struct cell_job *j, uint32_t step, double ms);
/* Records that a run of the step has taken that time. */
double cell_job_measured_chain_ms(const struct cell_job *j);
/* Longest chain of run times, each measured or, if there is no measurement,
 * declared. */

void cell_job_add_stopping(
    struct cell_job *j, const struct cell_stopping *more);
/* Adds runs that may still be running and are no longer those of a task. */
void cell_job_stopping_over(struct cell_job *j, uint32_t step);
/* One of them that is not an assumed one is over. */

bool cell_job_step_need(
    const struct cell_job *j, uint32_t step, struct ogl_res *need);
/* What a run of that step uses; false when the job has ended and no run of the
 * step may have outlasted it. */

void cell_job_clear(struct cell_job *j);
/* Frees its stages and the submission; no run may point at them. */

#endif
