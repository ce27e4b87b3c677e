/*
 * Random load and random faults for a fake cluster, by seed: callers that
 * send, repeat and cancel, while nodes, links, the log, workers and
 * executors fail one or two at a time.  At the end all is healed, what was
 * accepted has to come to its end, and every answer is held against what
 * ran.
 */

#ifndef FAKE_FAULTS_H
#define FAKE_FAULTS_H

#include "fake_cluster.h"

#ifdef __cplusplus
extern "C" {
#endif

struct fake_faults;

struct fake_faults *fake_faults_init(uint64_t seed);
/* A cell of a size drawn by the seed, up, with two teams and their keys. */
void fake_faults_end(struct fake_faults *f);

struct fake_cluster *fake_faults_cluster(struct fake_faults *f);

void fake_faults_run(struct fake_faults *f, ogl_time length);
/* Load and faults for so long. */

void fake_faults_settle(struct fake_faults *f);
/* Heals all, waits for what was accepted, checks. */

#ifdef __cplusplus
}
#endif

#endif
