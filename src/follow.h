/* The settings tree as one node follows it, and how current that is. */

#ifndef OGL_FOLLOW_H
#define OGL_FOLLOW_H

#include "member.h"
#include "metrics.h"
#include "orioleglade.h"

struct ogl_follow;

struct ogl_follow_ops {
	void (*changed)(void *ctx, ogl_time now);
	/* An edit sent by ogl_follow_edit took effect, or lost a race. */
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

bool ogl_follow_token(uint64_t token);
void ogl_follow_event(
    struct ogl_follow *f, const struct ogl_event *ev, ogl_time now);
void ogl_follow_news(struct ogl_follow *f, const struct ogl_peer *from,
    const Ogl__SettingsNews *news, ogl_time now, struct ogl_actions *out);

bool ogl_follow_edit(
    struct ogl_follow *f, const Ogl__Edit *e, uint64_t waiter, ogl_time now);
/* Queues an edit; false when this node may not write now. */

ogl_time ogl_follow_fresh(const struct ogl_follow *f, ogl_time now);
/* No edit accepted before this time is missing here. */

ogl_time ogl_follow_contact(const struct ogl_follow *f);
/* The last time the log answered. */

uint64_t ogl_follow_appends(const struct ogl_follow *f);

#endif
