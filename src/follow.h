/* One node's copy of the settings tree, and how current the copy is. */

#ifndef OGL_FOLLOW_H
#define OGL_FOLLOW_H

#include "member.h"
#include "metrics.h"
#include "orioleglade.h"

struct ogl_follow;

struct ogl_follow_ops {
	/* The tree may have changed. */
	void (*changed)(void *ctx, ogl_time now);
	/* Reports the outcome of an edit passed to ogl_follow_edit.  It took
	 * effect as this version; or error is set and it had no effect, for
	 * example because another edit came first. */
	void (*edited)(void *ctx, uint64_t waiter, uint64_t version,
	    const GError *error, ogl_time now);
};

struct ogl_follow *ogl_follow_init(const struct ogl_node_config *c,
    struct ogl_settings *s, struct ogl_member *m, struct ogl_counters *n,
    const struct ogl_follow_ops *ops, void *ctx, ogl_time now);
void ogl_follow_end(struct ogl_follow *f);

void ogl_follow_tick(
    struct ogl_follow *f, ogl_time now, struct ogl_actions *out);
ogl_time ogl_follow_next(const struct ogl_follow *f);

bool ogl_follow_is_token(uint64_t token);
/* Whether an action with this token was made by this module. */
void ogl_follow_event(
    struct ogl_follow *f, const struct ogl_event *ev, ogl_time now);
void ogl_follow_settings_news(struct ogl_follow *f, const struct ogl_peer *from,
    const Ogl__SettingsNews *news, ogl_time now, struct ogl_actions *out);
/* Handles a peer's request for a snapshot, or the snapshot it answers with. */

bool ogl_follow_edit(
    struct ogl_follow *f, const Ogl__Edit *e, uint64_t waiter, ogl_time now);
/* Appends an edit to the log; the waiter is answered through ops->edited.
 * Returns false when this node may not write now. */

ogl_time ogl_follow_fresh_as_of(const struct ogl_follow *f, ogl_time now);
/* Returns a time such that the tree has all edits accepted before it. */

ogl_time ogl_follow_log_contact(const struct ogl_follow *f);
/* Returns when the log last answered. */

uint64_t ogl_follow_appends(const struct ogl_follow *f);

#endif
