#include "account.h"

void
cell_log_job(const struct cell_ops *ops, const char *part, const char *event,
    const char *id, ogl_time began, const char *text)
{
	char whole[400];

	if (ops->log_job != NULL) {
		ops->log_job(ops->ctx, part, event, id, began, text);
		return;
	}
	g_snprintf(whole, sizeof whole, "job=%s %s", id, text);
	ops->log(ops->ctx, part, event, whole);
}
