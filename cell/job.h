/*
 * Jobs as the owner holds them: steps become stages (one for each occurrence
 * of a repeated job), a stage has tasks, a task has at most one run and, where
 * the step allows it, a copy.
 *
 * A job is written to the store as two records: what was submitted ('s' and
 * the id), once, and how far it is ('p' and the id), whenever that changes.
 * Once it has ended only the second stays, for as long as callers may ask.
 */

#ifndef OGL_CELL_JOB_H
#define OGL_CELL_JOB_H

#include "ops.h"

struct cell_queue;
struct cell_run;
struct cell_worker;
struct cell_job;

struct cell_task {
	bool done;
	GArray
	    *failed_runs; /* uint64_t, runs that ended as failed; NULL none */
	uint64_t run;     /* highest run number used */
	char *checkpoint; /* NULL none */
	struct cell_run *active; /* NULL: nothing runs or may run */
	struct cell_run *copy;   /* a second one, where that is allowed */
	bool supposed;           /* it may run on a worker not heard of yet */
	char *avoid;    /* worker where the last attempt failed; NULL none */
	ogl_time due;   /* not started before */
	uint32_t holds; /* silent workers that it may run on */
	uint32_t moves; /* times it was stopped to run elsewhere */
};

/* A worker that the queue's policy allows to run the stage. */
struct cell_good {
	uint32_t worker; /* its serial number */
	char *ticket;
	ogl_time until;   /* the ticket is taken for expired from then on */
	uint64_t born_ms; /* life of the worker that it was given for */
};

/* Why tasks whose turn has come are not running. */
enum cell_wait {
	CELL_WAIT_NONE,      /* they run, or nothing was tried yet */
	CELL_WAIT_STORE,     /* the job is not on the store yet */
	CELL_WAIT_SETTLE,    /* an earlier owner may have started them */
	CELL_WAIT_LIMIT,     /* the team has running what it may */
	CELL_WAIT_ADVICE,    /* no worker is known to be allowed yet */
	CELL_WAIT_TICKET,    /* allowed workers have room, tickets ran out */
	CELL_WAIT_ROOM,      /* no allowed worker has room */
	CELL_WAIT_WORKER_MAX /* those with room have enough of the step */
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
	GQueue *queue;    /* list of the scheduler that it is in */
	GList link;
	GArray *approvals; /* struct cell_good */
	GHashTable *asked; /* set of workers' serials whose answer is known */
	bool asking;
	enum cell_wait wait_reason; /* why it waits, as last logged */
	ogl_time wait_since;
	ogl_time blocked_since; /* could not be placed; 0 it could */
};

struct cell_occurrence {
	uint32_t number;
	ogl_time due; /* on the wall clock, microseconds */
	struct cell_stage *stages;
	uint32_t nstages_done;
};

struct cell_job {
	char id[CELL_ID_LEN + 1];
	Ogl__CellJob *def; /* NULL once the job has ended */
	Ogl__CellJobState state;
	GPtrArray *occurrences; /* struct cell_occurrence, those begun */
	uint32_t next_occurrence;
	GArray *finished;  /* uint32_t, occurrences all done */
	ogl_time accepted; /* node clock */
	uint64_t ended_ms; /* wall clock */
	bool begun;
	bool stored;           /* the submission is on the store */
	bool over;             /* beyond its team's rate when it came */
	bool dirty;            /* in the journal's list */
	bool write_def;        /* the submission is to be written */
	bool drop_def;         /* its record is to be dropped */
	bool forget;           /* all of it is to be dropped */
	uint32_t nruns;        /* runs on any worker, whatever their state */
	double work;           /* processor seconds declared, all steps */
	double chain_ms;       /* longest chain of declared run times */
	double *chain_from_ms; /* the same from each step on */
	double *measured_ms; /* by the longest run of each step that was done; 0
			  * not known */
	bool shown;          /* its end is stored, so callers may be told */
	uint64_t
	    queue_config_version; /* configuration that terms are taken from */
	struct cell_queue
	    *queue_config; /* how its queue treats it; NULL not known */
	bool settled;      /* not from an earlier owner, or all workers have
			  * answered: what does not run may be started */
};

bool cell_id_valid(struct ogl_str id);
/* Sixteen lower- or upper-case hexadecimal digits. */

bool cell_job_def_valid(const Ogl__CellJob *def, const char **why);
/* Whether steps, counts and their order make sense. */

struct cell_job *cell_job_new(Ogl__CellJob *def, ogl_time now);
/* Takes def. */
struct cell_job *cell_job_ended(const char *id, const Ogl__CellProgress *p);
/* What is left of a job that had ended. */
void cell_job_free(struct cell_job *j);

struct cell_occurrence *cell_job_begin(
    struct cell_job *j, uint32_t number, ogl_time due);
/* Makes an occurrence's stages; a number already begun is returned. */

struct cell_occurrence *cell_job_occurrence(
    const struct cell_job *j, uint32_t number);
/* NULL when it has not begun or is over. */

void cell_job_finish_occurrence(struct cell_job *j, struct cell_occurrence *o);
/* All its tasks are done: its stages are dropped. */

bool cell_job_occurrence_finished(const struct cell_job *j, uint32_t number);

struct ogl_res cell_stage_need(const struct cell_stage *s);
/* What one task holds; filling ones hold no processor. */

void cell_stage_hold(struct cell_stage *s, uint32_t index, ogl_time until);
/* The task may be running where nobody can be asked: it is not started before
 * then.  A gang is held as a whole. */
void cell_stage_release(struct cell_stage *s, uint32_t index, ogl_time now);
/* One hold is over; with the last one the task may be started. */

struct cell_good *cell_stage_good(const struct cell_stage *s, uint32_t worker);
/* What the policy said of the worker of that serial; NULL: not allowed, or not
 * asked.  Valid until the next answer is taken. */

bool cell_stage_ready(const struct cell_stage *s);
/* Whether all steps that it comes after have ended. */

uint32_t cell_stage_waiting(const struct cell_stage *s);
/* Tasks that are neither done nor running. */

bool cell_job_over(Ogl__CellJobState s);
/* Completed, failed or cancelled. */

struct cell_stage *cell_job_stage(
    const struct cell_job *j, const struct cell_task_name *name);
/* NULL when there is no such task. */

GBytes *cell_job_pack_def(const struct cell_job *j);
GBytes *cell_job_pack_progress(const struct cell_job *j);
void cell_job_apply(struct cell_job *j, const Ogl__CellProgress *p);
/* Takes up what an earlier owner had written; runs are not made. */

struct cell_task *cell_stage_keeper(struct cell_stage *s, uint32_t index);
/* The task that keeps attempts and checkpoint: of a gang, whose members share
 * them, the first. */

void cell_task_save(struct cell_task *t, const char *checkpoint);
/* Keeps a newer checkpoint; an empty one changes nothing. */

bool cell_task_fail(struct cell_task *t, uint64_t run);
/* Counts a failed run; false when it was counted before. */
uint32_t cell_task_failures(const struct cell_task *t);

void cell_job_took(struct cell_job *j, uint32_t step, double ms);
/* A run of the step was done after so long. */
double cell_job_took_chain_ms(const struct cell_job *j);
/* Longest chain by what runs took; as declared where that is not known. */

void cell_job_clear(struct cell_job *j);
/* Drops its stages and what was submitted; no run may point at them. */

#endif
