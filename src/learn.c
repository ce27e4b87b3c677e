/*
 * Run times by sort of work, for one team.
 *
 * A table of fixed size, WAYS entries a bucket; a new sort takes the place
 * of the one in its bucket that was used longest ago.  A flood of labels
 * therefore evicts the flooding team's own entries and nothing else.
 *
 * An entry keeps a decayed mean of the logarithm of the run time: run times
 * of one sort spread over orders of magnitude, and the mean of the logarithm
 * follows their middle, not the few longest.
 *
 * A sort never seen is guessed to be short.  While its first piece runs the
 * guess rises with the time that piece has already taken, so a misjudged
 * sort is demoted before anything of it has ended.  New sorts that start as
 * short are rationed by a token bucket; beyond the ration a new sort is
 * guessed to take what the team's earlier new sorts took in the mean.
 * Otherwise a team could have all its work treated as short by a new label on
 * each piece.  Here it is the plain mean, the cost to be expected of a piece
 * that nothing is known of: with the middle, a team that mixes long work into
 * much short work under ever new labels would have the long work pass for
 * short.
 *
 * Somebody waits for a sort of work when its pieces come one after the other:
 * the next is sent soon after the last has ended, and none while one waits or
 * runs.  Work that can wait comes in heaps.  Who sends long work so in order
 * to have it pass for awaited has one piece of it in the cell at a time.
 */

#include <math.h>
#include <sodium.h>
#include <string.h>

#include "learn.h"

#define BUCKETS 32
#define WAYS 4
#define DECAY 0.125 /* weight of the newest run time */
#define NEW_DECAY 0.002
#define NEW_GUESS (20 * OGL_MS)
#define NEW_TOKENS 16.0
#define NEW_TOKEN_EVERY (4 * OGL_SEC)
#define AWAITED_GAP (30 * OGL_SEC) /* from an end to the next of its sort */
#define AWAITED_DECAY 0.0625
#define AWAITED_PART 0.5 /* of the pieces come so */
#define GUESS_MIN (1 * OGL_MS)
#define SIZE_CLASS_BASE_MILLI 1000

struct entry {
	uint64_t sort;  /* 0: free */
	double log_run; /* natural logarithm of microseconds */
	ogl_time guess; /* its exponential */
	ogl_time used;
	ogl_time first_start; /* of the pieces now running; 0 none */
	uint32_t ended;
	uint32_t running;
	uint32_t waiting;
	ogl_time last_end;
	float in_turn; /* decayed part that came one after the other */
	bool rationed; /* no token was left for it */
};

struct ogl_learn {
	struct entry e[BUCKETS][WAYS];
	double tokens;
	ogl_time tokens_at;
	double new_run; /* mean of what new sorts turned out to take */
	uint32_t new_seen;
};

struct ogl_learn *
ogl_learn_init(void)
{
	struct ogl_learn *l = g_new0(struct ogl_learn, 1);

	l->tokens = NEW_TOKENS;
	l->new_run = (double)NEW_GUESS;
	return l;
}

void
ogl_learn_end(struct ogl_learn *l)
{
	g_free(l);
}

size_t
ogl_learn_bytes(void)
{
	return sizeof(struct ogl_learn);
}

/* Powers of two of the processors asked for. */
static uint32_t
size_class(const struct ogl_work *w)
{
	uint64_t size = (uint64_t)w->res.cpu_milli * MAX(w->tasks, 1);
	uint32_t class = 0;

	while (size > SIZE_CLASS_BASE_MILLI) {
		size /= 2;
		class ++;
	}
	return class;
}

uint64_t
ogl_learn_sort(const struct ogl_work *w, uint64_t seed)
{
	unsigned char key[crypto_shorthash_KEYBYTES] = {0};
	unsigned char hash[crypto_shorthash_BYTES];
	uint32_t head[2] = {(uint32_t)w->kind, size_class(w)};
	const char *label = w->label != NULL ? w->label : "";
	uint64_t sort;

	/* Keyed, so that nobody can choose labels that share a bucket. */
	memcpy(key, &seed, sizeof(seed));
	memcpy(key + sizeof(seed), head, sizeof(head));
	crypto_shorthash(
	    hash, (const unsigned char *)label, strlen(label), key);
	memcpy(&sort, hash, sizeof(sort));
	return sort != 0 ? sort : 1;
}

static struct entry *
find(struct ogl_learn *l, uint64_t sort)
{
	struct entry *b = l->e[sort % BUCKETS];

	for (size_t i = 0; i < WAYS; i++) {
		if (b[i].sort == sort)
			return &b[i];
	}
	return NULL;
}

static bool
take_token(struct ogl_learn *l, ogl_time now)
{
	double come = (double)(now - l->tokens_at) / NEW_TOKEN_EVERY;

	l->tokens = MIN(NEW_TOKENS, l->tokens + MAX(come, 0.0));
	l->tokens_at = now;
	if (l->tokens < 1.0)
		return false;
	l->tokens -= 1.0;
	return true;
}

static struct entry *
make(struct ogl_learn *l, uint64_t sort, ogl_time now)
{
	struct entry *b = l->e[sort % BUCKETS];
	struct entry *e = &b[0];

	for (size_t i = 0; i < WAYS; i++) {
		if (b[i].sort == 0) {
			e = &b[i];
			break;
		}
		if (b[i].used < e->used)
			e = &b[i];
	}
	memset(e, 0, sizeof(*e));
	e->sort = sort;
	e->used = now;
	e->rationed = !take_token(l, now);
	return e;
}

static struct entry *
touch(struct ogl_learn *l, uint64_t sort, ogl_time now)
{
	struct entry *e = find(l, sort);

	if (e == NULL)
		e = make(l, sort, now);
	e->used = now;
	return e;
}

ogl_time
ogl_learn_guess(struct ogl_learn *l, uint64_t sort, ogl_time now, bool *awaited)
{
	struct entry *e = touch(l, sort, now);
	ogl_time guess;

	if (e->ended != 0)
		guess = e->guess;
	else if (e->rationed)
		guess = MAX((ogl_time)l->new_run, NEW_GUESS);
	else
		guess = NEW_GUESS;
	if (e->ended == 0 && e->running != 0)
		guess = MAX(guess, now - e->first_start);
	*awaited = e->in_turn > AWAITED_PART;
	return MAX(guess, GUESS_MIN);
}

void
ogl_learn_pushed(struct ogl_learn *l, uint64_t sort, ogl_time now)
{
	struct entry *e = touch(l, sort, now);
	bool in_turn = e->waiting == 0 && e->running == 0 && e->last_end != 0 &&
		       now - e->last_end < AWAITED_GAP;

	e->in_turn += AWAITED_DECAY * ((in_turn ? 1 : 0) - e->in_turn);
	e->waiting++;
}

void
ogl_learn_gone(struct ogl_learn *l, uint64_t sort)
{
	struct entry *e = find(l, sort);

	if (e != NULL && e->waiting != 0)
		e->waiting--;
}

void
ogl_learn_started(struct ogl_learn *l, uint64_t sort, ogl_time now)
{
	struct entry *e = touch(l, sort, now);

	if (e->waiting != 0)
		e->waiting--;
	if (e->running++ == 0)
		e->first_start = now;
}

void
ogl_learn_ended(
    struct ogl_learn *l, uint64_t sort, ogl_time ran, bool ok, ogl_time now)
{
	struct entry *e = touch(l, sort, now);
	double x = log((double)MAX(ran, GUESS_MIN));
	double weight;

	if (e->running != 0)
		e->running--;
	e->last_end = now;
	/* One that failed at once tells nothing of how long it would take. */
	if (!ok && e->ended != 0 && x < e->log_run)
		return;
	e->ended++;
	weight = MAX(DECAY, 1.0 / e->ended);
	e->log_run += weight * (x - e->log_run);
	e->guess = (ogl_time)exp(e->log_run);
	if (e->ended == 1) {
		l->new_seen++;
		weight = MAX(NEW_DECAY, 1.0 / l->new_seen);
		l->new_run += weight * ((double)ran - l->new_run);
	}
}
