/*
 * Forecasts how long a new job would wait for its first start.
 */

#ifndef OGL_CELL_FORECAST_H
#define OGL_CELL_FORECAST_H

#include "orioleglade.h"

#ifdef __cplusplus
extern "C" {
#endif

struct cell_forecast;
struct
    cell_line; /* jobs that wait for the same; kept as long as the forecast */

/* How long a new job of a line would wait. */
struct cell_expected_wait {
	ogl_time behind_in_time; /* if only jobs that are in time go first */
	ogl_time behind_all;     /* if late jobs go first as well */
};

struct cell_forecast *cell_forecast_init(void);
void cell_forecast_end(struct cell_forecast *f);

void cell_forecast_reset(struct cell_forecast *f, ogl_time now);
/* Forgets what is known of all lines.  Nothing is forecast for the next
 * seconds. */

struct cell_line *cell_forecast_line(struct cell_forecast *f, const char *name);
/* The line with that name, which is added if it is not known yet. */

void cell_forecast_begin_count(struct cell_forecast *f);
/* Begins a new count of the waiting jobs. */
void cell_forecast_count(struct cell_line *l, bool in_time, ogl_time since);
/* Counts a job of the line that has waited for its first start since then. */

void cell_forecast_started(struct cell_line *l, ogl_time now);
/* Counts the first start of a job of the line. */

void cell_forecast_check(
    struct cell_line *l, ogl_time expected, ogl_time waited);
/* Compares a forecast with the time that the job really waited.  A line whose
 * forecasts were too long is given shorter ones. */

struct cell_expected_wait cell_forecast_wait(
    const struct cell_forecast *f, const struct cell_line *l, ogl_time now);
/* Both are 0 if the line is empty or too little is known. */

const char *cell_forecast_line_name(const struct cell_line *l);
double cell_forecast_rate(const struct cell_line *l, ogl_time now);
/* Jobs of the line that were started a second lately. */

#ifdef __cplusplus
}
#endif

#endif
