/* Written by tools/gen_settings.py; do not edit. */

#ifndef OGL_SETTINGS_TABLE_H
#define OGL_SETTINGS_TABLE_H

#include <stddef.h>

enum ogl_setting_type {
	OGL_SETTING_INTEGER,
	OGL_SETTING_NUMBER,
	OGL_SETTING_LIMIT,
	OGL_SETTING_HASH,
	OGL_SETTING_TEAM
};

/* One field that the settings tree allows. */
struct ogl_setting {
	const char *name;
	enum ogl_setting_type type;
	double min;
	double max;
	const char *preset; /* JSON; NULL: must be set */
	const char *doc;
};

enum ogl_cell_setting {
	OGL_CELL_AUDIT_KEEP,
	OGL_CELL_SETTINGS
};
extern const struct ogl_setting ogl_cell_settings[OGL_CELL_SETTINGS];

enum ogl_team_setting {
	OGL_TEAM_SHARE,
	OGL_TEAM_LIMIT_TASKS,
	OGL_TEAM_MAX_QUEUE_MS,
	OGL_TEAM_MAX_BODY,
	OGL_TEAM_IDLE_KEEP_JOBS,
	OGL_TEAM_SETTINGS
};
extern const struct ogl_setting ogl_team_settings[OGL_TEAM_SETTINGS];

enum ogl_key_setting {
	OGL_KEY_HASH,
	OGL_KEY_TEAM,
	OGL_KEY_SETTINGS
};
extern const struct ogl_setting ogl_key_settings[OGL_KEY_SETTINGS];

#endif
