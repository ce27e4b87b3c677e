/* Written by tools/gen_settings.py; do not edit. */

#include "settings_table.h"

const struct ogl_setting ogl_cell_settings[OGL_CELL_SETTINGS] = {
	{"audit_keep", OGL_SETTING_INTEGER,
	    10, 100000, "1000",
	    "changes kept in the audit trail"},
};

const struct ogl_setting ogl_team_settings[OGL_TEAM_SETTINGS] = {
	{"share", OGL_SETTING_NUMBER,
	    0.001, 1000000, "1",
	    "weight among its siblings when the cell is full"},
	{"limit_tasks", OGL_SETTING_LIMIT,
	    0, 1000000000, "\"none\"",
	    "upper limit of tasks running at once, its subteams' included"},
	{"max_queue_ms", OGL_SETTING_INTEGER,
	    1, 600000, "5000",
	    "longest a short request may wait"},
	{"max_body", OGL_SETTING_INTEGER,
	    0, 1048576, "262144",
	    "bytes of one request"},
	{"idle_keep_jobs", OGL_SETTING_INTEGER,
	    0, 100000, "1000",
	    "ended jobs remembered"},
};

const struct ogl_setting ogl_key_settings[OGL_KEY_SETTINGS] = {
	{"hash", OGL_SETTING_HASH,
	    0, 0, NULL,
	    "BLAKE2b-256 of the key"},
	{"team", OGL_SETTING_TEAM,
	    0, 0, NULL,
	    "team that the key stands for"},
};
