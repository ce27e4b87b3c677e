/* Operators' views of a shard: the shard itself, its queue and its workers.
 * Each is a JSON list; the node that took the call joins the lists of all
 * shards. */

#include <string.h>

#include "shard_impl.h"

static json_t *
shard_row(const struct ogl_shard *sh, ogl_time now)
{
	struct ogl_res total = {0}, held = {0};
	json_t *names = json_array();

	ogl_place_totals(sh->placer, &total, &held);
	for (guint i = 0; i < sh->state->successors->len; i++)
		json_array_append_new(names,
		    json_string(g_ptr_array_index(sh->state->successors, i)));
	return json_pack("{s:i,s:s,s:I,s:b,s:b,s:o,s:i,s:I,s:i,s:i,s:I}",
	    "shard", (int)sh->index, "owner", sh->env->cfg->name, "epoch",
	    (json_int_t)sh->state->epoch, "ready", !sh->recovering, "may_act",
	    ogl_shard_may_act(sh, now), "successors", names, "jobs",
	    (int)g_hash_table_size(sh->state->jobs), "tasks_placed",
	    (json_int_t)sh->nplaced, "cpu_milli", (int)total.cpu_milli,
	    "cpu_milli_held", (int)held.cpu_milli, "waiting",
	    (json_int_t)ogl_queue_length(sh->queue));
}

static json_t *
queue_row(const struct ogl_shard *sh, ogl_time now)
{
	return json_pack("{s:i,s:I,s:I,s:i}", "shard", (int)sh->index,
	    "waiting", (json_int_t)ogl_queue_length(sh->queue),
	    "longest_wait_ms", (json_int_t)ogl_queue_wait_ms(sh->queue, now),
	    "records_pending", (int)ogl_stream_pending(sh->stream));
}

static void
worker_rows(const struct ogl_shard *sh, json_t *list, ogl_time now)
{
	for (guint i = 0; i < sh->sessions->len; i++) {
		const struct ogl_session *s =
		    g_ptr_array_index(sh->sessions, i);

		if (s->gone)
			continue;
		json_array_append_new(list,
		    json_pack("{s:s,s:s,s:s,s:s,s:i,s:b,s:b,s:b,s:i,s:I}",
			"worker", s->name, "addr", s->addr, "zone", s->zone,
			"rack", s->rack, "shard", (int)sh->index, "known",
			s->reported, "in_use", s->in_use, "leaving", s->leaving,
			"tasks", (int)s->tasks->len, "heard_ms_ago",
			(json_int_t)(s->answered_at > 0
					 ? (now - s->answered_at) / OGL_MS
					 : -1)));
	}
}

json_t *
ogl_shard_view(const struct ogl_shard *sh, struct ogl_str path, ogl_time now)
{
	json_t *list = json_array();

	if (ogl_str_eq(path, ogl_str("/v1/shards")))
		json_array_append_new(list, shard_row(sh, now));
	else if (ogl_str_eq(path, ogl_str("/v1/queues")))
		json_array_append_new(list, queue_row(sh, now));
	else if (ogl_str_eq(path, ogl_str("/v1/workers")))
		worker_rows(sh, list, now);
	return list;
}
