/*
 * The number of shards of the cell, which one node decides (plan.c): whose turn
 * it is, storing the number, and applying the record that holds it.
 */

#include <string.h>

#include "lead_impl.h"

/* A planner that has decided nothing by then has probably ended. */
#define PLANNER_TURN (5 * OGL_SEC)

static void
init_shards(struct cell_lead *l, uint32_t shards, ogl_time now)
{
	uint32_t i;

	l->shards = shards;
	l->by_shard = g_new0(struct lead_shard, shards);
	for (i = 0; i < shards; i++) {
		struct lead_shard *s = &l->by_shard[i];

		s->lead = l;
		s->shard = i;
		s->claim_at = OGL_NEVER;
		s->unreachable_at = CELL_LONG_AGO;
		s->last_heard = now;
	}
	l->events.planned(l->events.arg, shards, now);
}

void
cell_lead_apply_plan(
    struct cell_lead *l, const struct cell_record *r, ogl_time now)
{
	Ogl__CellPlan *m = ogl__cell_plan__unpack(
	    NULL, r->value.n, (const uint8_t *)r->value.p);
	char text[48];

	if (m == NULL || m->shards == 0 || m->shards > CELL_SHARDS_MAX) {
		l->ops->log(l->ops->ctx, "lead", "record_unreadable", PLAN_KEY);
	} else if (l->shards == 0) {
		g_snprintf(text, sizeof text, "shards=%u", m->shards);
		l->ops->log(l->ops->ctx, "lead", "planned", text);
		init_shards(l, m->shards, now);
	}
	if (m != NULL)
		ogl__cell_plan__free_unpacked(m, NULL);
}

void
cell_lead_apply_planner(
    struct cell_lead *l, const struct cell_record *r, ogl_time now)
{
	Ogl__CellPlan *m = ogl__cell_plan__unpack(
	    NULL, r->value.n, (const uint8_t *)r->value.p);

	if (m == NULL) {
		l->ops->log(
		    l->ops->ctx, "lead", "record_unreadable", PLANNER_KEY);
		return;
	}
	l->planner_since = now;
	l->is_planner = strcmp(m->planner, l->node) == 0 && m->boot == l->boot;
	ogl__cell_plan__free_unpacked(m, NULL);
}

bool
cell_lead_needs_plan(const struct cell_lead *l)
{
	return l->loaded && l->shards == 0 && !l->planning;
}

/* What was stored arrives with the reads. */
static void
on_plan(void *arg, const struct cell_append_answer *a, ogl_time now)
{
	struct cell_lead *l = arg;

	(void)a;
	(void)now;
	l->planning = false;
}

/* Appends the record if the stream has not grown since the last read. */
static void
append_plan(struct cell_lead *l, char *key, const Ogl__CellPlan *m)
{
	struct cell_put put = {key, NULL};
	struct cell_append a = {.stream = CELL_LEAD,
	    .expected_end = (int64_t)l->next_offset,
	    .puts = &put,
	    .nputs = 1,
	    .timeout_ms = APPEND_TIMEOUT_MS};
	size_t n = ogl__cell_plan__get_packed_size(m);
	uint8_t *p = g_malloc(n);

	ogl__cell_plan__pack(m, p);
	put.value = g_bytes_new_take(p, n);
	l->planning = true;
	l->ops->append(l->ops->backend_ctx, &a, on_plan, l);
	g_bytes_unref(put.value);
}

bool
cell_lead_take_plan_turn(struct cell_lead *l, ogl_time now)
{
	Ogl__CellPlan m = OGL__CELL_PLAN__INIT;
	char key[] = PLANNER_KEY;

	if (l->planner_since != 0 && now - l->planner_since < PLANNER_TURN)
		return l->is_planner;
	m.planner = l->node;
	m.boot = l->boot;
	if (!l->planning)
		append_plan(l, key, &m);
	return false;
}

void
cell_lead_plan(struct cell_lead *l, uint32_t shards)
{
	Ogl__CellPlan m = OGL__CELL_PLAN__INIT;
	char key[] = PLAN_KEY;

	m.shards = shards;
	append_plan(l, key, &m);
}
