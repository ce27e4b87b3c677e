/*
 * Random load and random faults for a fake cluster, drawn from a seed: callers
 * send, retry and cancel, while faults of nodes, links, the log, workers and
 * executors begin one or two at a time.  At the end all faults are healed,
 * every accepted job has to end, and every answer is compared with what ran.
 */

#ifndef FAKE_FAULTS_H
#define FAKE_FAULTS_H

#include "fake_cluster.h"

#ifdef __cplusplus
extern "C" {
#endif

struct fake_faults;

struct fake_faults *fake_faults_init(uint64_t seed);
/* Starts a cell whose size is drawn from the seed, and creates its teams and
 * their keys. */

void fake_faults_end(struct fake_faults *f);

struct fake_cluster *fake_faults_cluster(struct fake_faults *f);

void fake_faults_run(struct fake_faults *f, ogl_time length);
/* Generates load and faults for this time. */

void fake_faults_settle(struct fake_faults *f);
/* Heals all faults, waits for the accepted jobs to end and checks the history.
 * Violations are reported by fake_cluster_violations(). */

#ifdef __cplusplus
}
#endif

#endif
