/*
 * Taking back room that was lent: which running tasks have to make way for
 * the waiting work of a team that holds less than its share.
 *
 * A round: ogl_lend_begin, then every open worker, every placed task and all
 * waiting work are told, then ogl_lend_decide.  Tasks on workers that are not
 * open are told with OGL_LEND_NO_WORKER: they count as held and stay.
 */

#ifndef OGL_LEND_H
#define OGL_LEND_H

#include "orioleglade.h"

#define OGL_LEND_NO_WORKER UINT32_MAX
#define OGL_LEND_BOUND_MS 5000 /* work that waited less moves nobody */

struct ogl_lend;

struct ogl_lend_task {
	uint64_t id;  /* the same for each run of the task, never 0 */
	uint64_t job; /* a gang goes whole */
	const char *team;
	Ogl__Kind kind;
	struct ogl_res res;
	uint32_t worker; /* as ogl_lend_add_worker gave it */
	ogl_time since;  /* start of this run */
	bool restartable;
	bool stopping;
};

struct ogl_lend_want {
	const char *team;
	struct ogl_res res; /* per task */
	uint32_t tasks;     /* a gang's size, else 1 */
	uint32_t turn;      /* which of those whose turn came and that found
			     * no room, from 1; 0: its turn did not come */
	ogl_time since;
};

struct ogl_lend_take {
	size_t task; /* as told in this round, from 0 */
	Ogl__StopMode mode;
	ogl_time lost; /* run time attained; 0 when told of before */
};

struct ogl_lend *ogl_lend_init(void);
void ogl_lend_end(struct ogl_lend *l);

void ogl_lend_share(struct ogl_lend *l, const char *team, double share);
/* Weight of a team among its siblings. */

ogl_time ogl_lend_next(const struct ogl_lend *l);
/* No round is due before. */

void ogl_lend_begin(struct ogl_lend *l, ogl_time now);
uint32_t ogl_lend_add_worker(struct ogl_lend *l, const struct ogl_res *capacity,
    const struct ogl_res *room);
void ogl_lend_add_task(struct ogl_lend *l, const struct ogl_lend_task *t);
void ogl_lend_add_want(struct ogl_lend *l, const struct ogl_lend_want *w);
/* Strings are borrowed until the round's end. */

size_t ogl_lend_decide(
    struct ogl_lend *l, ogl_time now, const struct ogl_lend_take **takes);
/* Ends the round; the takes stay valid until the next one begins. */

bool ogl_lend_was_taken(const struct ogl_lend *l, uint64_t id);
/* The task was taken back lately and has a right to go first. */

#endif
