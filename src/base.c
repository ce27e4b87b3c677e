/*
 * Basic types of the library: length-counted strings, resources, verdict names
 * and the list of actions.
 */

#include <string.h>

#include "orioleglade.h"

GQuark
ogl_error_quark(void)
{
	return g_quark_from_static_string("orioleglade");
}

struct ogl_str
ogl_str(const char *zs)
{
	struct ogl_str s = {zs, zs != NULL ? strlen(zs) : 0};

	return s;
}

bool
ogl_str_eq(struct ogl_str a, struct ogl_str b)
{
	return a.n == b.n && (a.n == 0 || memcmp(a.p, b.p, a.n) == 0);
}

char *
ogl_str_dup(struct ogl_str s)
{
	return g_strndup(s.p != NULL ? s.p : "", s.n);
}

const char *
ogl_verdict_name(enum ogl_verdict v)
{
	switch (v) {
	case OGL_RAN:
		return "ran";
	case OGL_MAY_HAVE_RUN:
		return "may_have_run";
	case OGL_NOT_RUN:
	default:
		return "not_run";
	}
}

bool
ogl_res_fits(const struct ogl_res *need, const struct ogl_res *room)
{
	return need->cpu_milli <= room->cpu_milli &&
	       need->mem_mb <= room->mem_mb && need->accel <= room->accel;
}

void
ogl_res_add(struct ogl_res *to, const struct ogl_res *r)
{
	to->cpu_milli += r->cpu_milli;
	to->mem_mb += r->mem_mb;
	to->accel += r->accel;
}

static uint32_t
sub_saturating(uint32_t a, uint32_t b)
{
	return a > b ? a - b : 0;
}

void
ogl_res_sub(struct ogl_res *from, const struct ogl_res *r)
{
	from->cpu_milli = sub_saturating(from->cpu_milli, r->cpu_milli);
	from->mem_mb = sub_saturating(from->mem_mb, r->mem_mb);
	from->accel = sub_saturating(from->accel, r->accel);
}

void
ogl_action_free(struct ogl_action *a)
{
	if (a == NULL)
		return;
	g_free(a->addr);
	g_free(a->name);
	g_free(a->work_kind);
	if (a->data != NULL)
		g_bytes_unref(a->data);
	if (a->sync != NULL)
		ogl__worker_sync__free_unpacked(a->sync, NULL);
	g_free(a);
}

void
ogl_actions_init(struct ogl_actions *q)
{
	q->head = NULL;
	q->tail = &q->head;
	q->n = 0;
}

struct ogl_action *
ogl_actions_new(struct ogl_actions *q, enum ogl_action_type type)
{
	struct ogl_action *a = g_new0(struct ogl_action, 1);

	a->type = type;
	*q->tail = a;
	q->tail = &a->next;
	q->n++;
	return a;
}

struct ogl_action *
ogl_actions_pop(struct ogl_actions *q)
{
	struct ogl_action *a = q->head;

	if (a == NULL)
		return NULL;
	q->head = a->next;
	if (q->head == NULL)
		q->tail = &q->head;
	q->n--;
	a->next = NULL;
	return a;
}

void
ogl_actions_clear(struct ogl_actions *q)
{
	struct ogl_action *a;

	while ((a = ogl_actions_pop(q)) != NULL)
		ogl_action_free(a);
}
