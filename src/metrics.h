/* Counters of a node and their Prometheus text format. */

#ifndef OGL_METRICS_H
#define OGL_METRICS_H

#include <glib.h>
#include <stdint.h>

/* One entry per counter: field, metric name, help text. */
#define OGL_COUNTERS(X)                                                        \
	X(calls, "calls_total", "calls taken from callers and operators")      \
	X(denied, "denied_total", "calls with an unknown or withdrawn key")    \
	X(bad_input, "bad_input_total", "calls refused for what they say")     \
	X(refused, "refused_total", "calls refused as not run for load")       \
	X(stale_refused, "stale_refused_total",                                \
	    "calls refused since the settings could not be confirmed")         \
	X(forwarded, "forwarded_total", "calls passed to a shard's owner")     \
	X(req_ran, "requests_ran_total", "short requests answered as ran")     \
	X(req_not_run, "requests_not_run_total",                               \
	    "short requests answered as not run")                              \
	X(req_may_have_run, "requests_may_have_run_total",                     \
	    "short requests answered as may have run")                         \
	X(retries, "retries_total", "short requests sent to a second target")  \
	X(late_answers, "late_answers_total",                                  \
	    "answers that came after their request was given up")              \
	X(jobs, "jobs_accepted_total", "jobs recorded on the log")             \
	X(starts, "task_starts_total", "start commands for tasks")             \
	X(ends, "task_ends_total", "tasks that ended, by any end")             \
	X(task_lapses, "task_lapses_total", "tasks lost with their lease")     \
	X(task_stops, "task_stops_total", "tasks told to stop")                \
	X(lend_taken, "lent_taken_total",                                      \
	    "tasks taken back from teams above their share")                   \
	X(lend_lost_ms, "lent_lost_ms_total",                                  \
	    "run time that tasks taken back had attained")                     \
	X(syncs, "worker_syncs_total", "messages to workers")                  \
	X(sync_fails, "worker_sync_failures_total",                            \
	    "messages to workers left unanswered")                             \
	X(worker_refusals, "worker_refusals_total",                            \
	    "stale messages workers refused")                                  \
	X(claims, "claims_total", "shards claimed")                            \
	X(lost_shards, "shards_lost_total", "shards taken over by others")     \
	X(log_appends, "log_appends_total", "appends sent")                    \
	X(log_errors, "log_errors_total", "appends or reads that failed")      \
	X(peer_bytes, "peer_bytes_total", "bytes sent to other nodes")         \
	X(peer_msgs, "peer_messages_total", "messages sent to other nodes")    \
	X(edits, "settings_edits_total", "settings edits in force")            \
	X(double_found, "double_found_total",                                  \
	    "tasks found on two workers; the second was stopped")

struct ogl_counters {
#define OGL_COUNTER_FIELD(field, name, help) uint64_t field;
	OGL_COUNTERS(OGL_COUNTER_FIELD)
#undef OGL_COUNTER_FIELD
};

void ogl_metrics_append_counters(const struct ogl_counters *c, GString *to);
/* Appends every counter with its help text to `to`. */

void ogl_metrics_append_gauge(
    GString *to, const char *name, const char *help, uint64_t value);
/* Appends one gauge. */

#endif
