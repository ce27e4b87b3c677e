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
/* Where the team's own work is counted; made when it is not there. */

void ogl_fair_share(struct ogl_fair *f, const char *team, double share);
/* Weight of a team among its siblings. */

void ogl_fair_scale(struct ogl_fair *f, double sec);
/* How long the work runs that service mostly goes to.  Debts, credits and the
 * lookahead are parts of it: places fall free no faster. */

void ogl_fair_wait(struct ogl_fair_node *leaf, ogl_time now);
void ogl_fair_unwait(struct ogl_fair_node *leaf);
/* One more or one less piece of the leaf's work waits. */

void ogl_fair_hold(struct ogl_fair_node *leaf, double rate, ogl_time now);
/* The leaf's running work changed by `rate` units of resource. */

void ogl_fair_pass(struct ogl_fair_node *leaf, double rate);
/* Work of `rate` units could not start (or, below zero, may now be tried
 * again): until then the leaf's turn comes as if it held them. */

struct ogl_fair_node *ogl_fair_pick(struct ogl_fair *f, ogl_time now);
/* The leaf with waiting work that is furthest behind its share; NULL when
 * nothing waits. */

bool ogl_fair_may_overtake(struct ogl_fair_node *leaf, ogl_time now);
/* Whether the leaf, and each team above it, is at most the allowed debt
 * ahead of its share.  Valid after ogl_fair_pick at the same `now`. */

void *ogl_fair_data(const struct ogl_fair_node *leaf);
void ogl_fair_set_data(struct ogl_fair_node *leaf, void *data);

#endif
