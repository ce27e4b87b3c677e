/*
 * Hierarchical weighted fair sharing over the tree of teams.
 */

#ifndef OGL_FAIR_H
#define OGL_FAIR_H

#include "orioleglade.h"

struct ogl_fair;
struct ogl_fair_node;

struct ogl_fair *ogl_fair_init(void);
void ogl_fair_end(struct ogl_fair *f);

struct ogl_fair_node *ogl_fair_leaf(struct ogl_fair *f, const char *team);
/* The node that the team's own work is counted on; created when missing. */

void ogl_fair_set_share(struct ogl_fair *f, const char *team, double share);
/* Sets the weight of a team among its siblings. */

void ogl_fair_set_typical_run(struct ogl_fair *f, double sec);
/* Sets the typical run time: that of the work that receives most of the
 * service.  Debts, credits and the lookahead are multiples of it, because
 * capacity becomes free at that pace. */

void ogl_fair_add_waiting(struct ogl_fair_node *leaf, ogl_time now);
void ogl_fair_remove_waiting(struct ogl_fair_node *leaf);
/* Counts an item of the leaf that begins to wait or no longer waits. */

void ogl_fair_change_held(
    struct ogl_fair_node *leaf, double units, ogl_time now);
/* Adds `units`, which may be negative, to the resources held by the leaf's
 * running work. */

void ogl_fair_change_deferred(struct ogl_fair_node *leaf, double units);
/* Adds `units` to the resources that the leaf's deferred work needs; negative
 * when work is no longer deferred.  The leaf is ranked as if it held them. */

struct ogl_fair_node *ogl_fair_pick(struct ogl_fair *f, ogl_time now);
/* The leaf with waiting work that is furthest behind its share; NULL when
 * nothing waits. */

bool ogl_fair_may_overtake(struct ogl_fair_node *leaf, ogl_time now);
/* Whether the leaf and each of its ancestors are ahead of their share by no
 * more than the allowed debt.  Valid after ogl_fair_pick at the same `now`. */

void *ogl_fair_data(const struct ogl_fair_node *leaf);
void ogl_fair_set_data(struct ogl_fair_node *leaf, void *data);

#endif
