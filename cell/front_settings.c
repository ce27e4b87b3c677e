/*
 * Reads the settings stream of a front end and keeps the configuration and the
 * evacuated zones.
 *
 * The settings stream is read by long polls without a pause.  An answered read
 * proves that no other configuration was in force when it was sent.  When there
 * has been no such proof for too long, every key is refused, since it may have
 * been withdrawn.  A node that can't read the store uses the owner's proofs,
 * which come with its pongs: the store may refuse a single machine for 9 s and
 * more.  The node would refuse each request during that time, and the request
 * would reach another node late.
 *
 * A quiet node does not poll.  Its owner's pongs tell how far the owner has read
 * the stream and when, which proves the same as a read of its own as long as it
 * has read that far itself.  Only proofs by reads are passed on, so none comes
 * from further away than one node.
 */

#include "front_impl.h"

#define READ_WAIT_MS 800
/* Wait of reads whose results are passed on to quiet nodes. */
#define INFORMING_READ_WAIT_MS 400
#define READ_TIMEOUT_MS 2200
/* A quiet node whose last proof is older than this reads the settings itself.
 * Proofs that come with pongs are up to 1.2 s old. */
#define QUIET_PROOF_MAX_AGE (1600 * OGL_MS)
/* Fraction of revoke_ms after which keys are no longer trusted.  The rest is
 * for the transmission of the request, and for a pause of this process between
 * its reading of the clock and the answer. */
#define FRESH_FRACTION 0.7
/* A read of the settings waits 0.8 s at most (READ_WAIT_MS), so a last good
 * read that is older than this means that a read has failed. */
#define CUT_OFF_AFTER (1300 * OGL_MS)
/* A quiet node that knows of new records reads them without waiting. */
#define QUIET_CUT_OFF_AFTER (400 * OGL_MS)

struct cell_config *
cell_front_config(const struct cell_front *f)
{
	return f->config;
}

const struct cell_zones *
cell_front_zones(const struct cell_front *f)
{
	return f->zones;
}

bool
cell_front_fresh(const struct cell_front *f, ogl_time now)
{
	ogl_time max =
	    (ogl_time)(f->limits->revoke_ms * FRESH_FRACTION) * OGL_MS;

	return f->config != NULL && now - f->fresh_as_of < max;
}

/* ---- applying records ------------------------------------------------- */

static void
apply_config(struct cell_front *f, struct cell_config *c, struct ogl_str record)
{
	char text[64];

	if (f->config != NULL &&
	    cell_config_version(c) <= cell_config_version(f->config))
		return;
	cell_config_ref(c);
	cell_config_unref(f->config);
	f->config = c;
	g_bytes_unref(f->record);
	f->record = g_bytes_new(record.p, record.n);
	g_snprintf(text, sizeof text, "version=%" G_GUINT64_FORMAT,
	    cell_config_version(c));
	f->ops->log(f->ops->ctx, "front", "config_in_force", text);
}

static void
apply_zone_record(struct cell_front *f, const struct cell_record *r)
{
	char text[160];

	if (!cell_zones_record(f->zones, r->zone, !r->dropped, r->offset))
		return;
	g_snprintf(text, sizeof text, "zone=%.80s offset=%" G_GUINT64_FORMAT,
	    r->zone, r->offset);
	f->ops->log(f->ops->ctx, "front",
	    r->dropped ? "zone_taken_back" : "zone_evacuated", text);
}

static void
apply_records(struct cell_front *f, const struct cell_record *records, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (records[i].config != NULL)
			apply_config(f, records[i].config, records[i].value);
		if (records[i].zone != NULL)
			apply_zone_record(f, &records[i]);
	}
}

/* The names are those of all evacuated zones.  Any other zone is no longer
 * evacuated, even if the record that says so has been trimmed. */
static void
replace_zones(
    struct cell_front *f, char *const *names, size_t n, uint64_t known_to)
{
	uint64_t changes = cell_zones_changes(f->zones);
	char *list;
	char *text;

	cell_zones_replace(f->zones, names, n, known_to);
	if (cell_zones_changes(f->zones) == changes)
		return;
	list = n > 0 ? g_strjoinv(",", (char **)(uintptr_t)names) : NULL;
	text = g_strdup_printf("evacuated=%s known_to=%" G_GUINT64_FORMAT,
	    list != NULL ? list : "none", known_to);
	f->ops->log(f->ops->ctx, "front", "zones_listed", text);
	g_free(text);
	g_free(list);
}

/* ---- proofs of the newest settings ------------------------------------ */

static void
read_succeeded(struct cell_front *f, ogl_time now)
{
	f->last_read_ok = now;
	f->read_as_of = f->read_sent_at;
	f->fresh_as_of = MAX(f->fresh_as_of, f->read_sent_at);
	f->next_read_at = now;
	f->behind_since = 0;
}

struct cell_front_config
cell_front_known_config(const struct cell_front *f)
{
	struct cell_front_config c = {.as_of = f->fresh_as_of};
	gsize n = 0;

	if (f->config == NULL)
		return c;
	c.version = cell_config_version(f->config);
	c.record.p = g_bytes_get_data(f->record, &n);
	c.record.n = n;
	return c;
}

bool
cell_front_cut_off(const struct cell_front *f, ogl_time now)
{
	if (f->quiet)
		return f->behind_since != 0 &&
		       now - f->behind_since > QUIET_CUT_OFF_AFTER;
	return now - f->last_read_ok > CUT_OFF_AFTER;
}

struct cell_front_position
cell_front_position(const struct cell_front *f)
{
	struct cell_front_position p = {f->next_offset, f->read_as_of};

	if (!f->loaded)
		p.end = 0;
	return p;
}

void
cell_front_learn_position(
    struct cell_front *f, const struct cell_front_position *p, ogl_time now)
{
	if (!f->loaded || p->end == 0)
		return;
	if (p->end > f->next_offset && f->behind_since == 0)
		f->behind_since = now;
	if (p->end <= f->next_offset)
		f->fresh_as_of = MAX(f->fresh_as_of, p->as_of);
}

void
cell_front_set_quiet(struct cell_front *f, bool quiet)
{
	f->quiet = quiet;
}

void
cell_front_set_informs(struct cell_front *f, bool informs)
{
	f->informs = informs;
}

void
cell_front_learn_config(
    struct cell_front *f, const struct cell_front_config *c, ogl_time now)
{
	struct cell_config *config;

	if (!cell_front_cut_off(f, now))
		return;
	if (c->record.n > 0) {
		config = f->ops->decode_config(f->ops->backend_ctx, c->record);
		if (config != NULL)
			apply_config(f, config, c->record);
		cell_config_unref(config);
	}
	/* Only a proof for the version held here counts. */
	if (f->config != NULL && c->version == cell_config_version(f->config))
		f->fresh_as_of = MAX(f->fresh_as_of, c->as_of);
}

void
cell_front_learn_zones(struct cell_front *f, char *const *names, size_t n,
    uint64_t known_to, ogl_time now)
{
	GPtrArray *list;
	size_t i;

	if (!cell_front_cut_off(f, now))
		return;
	list = g_ptr_array_new();
	for (i = 0; i < n; i++)
		g_ptr_array_add(list, names[i]);
	g_ptr_array_add(list, NULL);
	replace_zones(f, (char *const *)list->pdata, n, known_to);
	g_ptr_array_unref(list);
}

/* ---- a listing of the settings, page by page -------------------------- */

/* Keeps the stream's end as of the first page.  After the listing, the stream
 * is read from there, so that no record added meanwhile is missed. */
static void
listing_begin(struct cell_front *f, uint64_t end)
{
	f->listing.end = end;
	f->listing.requested_at = f->read_sent_at;
	g_ptr_array_set_size(f->listing.zones, 0);
}

static void
listing_add_page(struct cell_front *f, const struct cell_newest_answer *a)
{
	size_t i;

	for (i = 0; i < a->n; i++) {
		const struct cell_record *r = &a->records[i];

		if (r->config != NULL)
			apply_config(f, r->config, r->value);
		if (r->zone != NULL && !r->dropped)
			g_ptr_array_add(f->listing.zones, g_strdup(r->zone));
	}
	g_clear_pointer(&f->listing.after, g_free);
	if (a->n > 0)
		f->listing.after = g_strdup(a->records[a->n - 1].key);
}

static void
listing_finish(struct cell_front *f)
{
	GPtrArray *zones = f->listing.zones;

	g_clear_pointer(&f->listing.after, g_free);
	g_ptr_array_add(zones, NULL);
	replace_zones(
	    f, (char *const *)zones->pdata, zones->len - 1, f->listing.end);
	f->loaded = true;
	f->next_offset = f->listing.end;
	f->read_sent_at = f->listing.requested_at;
}

static void
on_newest(void *arg, const struct cell_newest_answer *a, ogl_time now)
{
	struct cell_front *f = arg;

	f->reading = false;
	if (a->io != OGL_IO_OK) {
		f->next_read_at = now + RETRY_DELAY;
		return;
	}
	if (f->listing.after == NULL)
		listing_begin(f, a->end);
	listing_add_page(f, a);
	f->next_read_at = now;
	if (a->more && f->listing.after != NULL)
		return;
	listing_finish(f);
	read_succeeded(f, now);
}

/* ---- reading ---------------------------------------------------------- */

static void
on_read(void *arg, const struct cell_read_answer *a, ogl_time now)
{
	struct cell_front *f = arg;

	f->reading = false;
	if (a->io != OGL_IO_OK) {
		f->next_read_at = now + RETRY_DELAY;
		return;
	}
	f->next_read_at = now;
	if (a->trimmed) {
		f->loaded = false;
		return;
	}
	apply_records(f, a->records, a->n);
	if (a->n > 0)
		f->next_offset = a->records[a->n - 1].offset + 1;
	/* The configuration is known to be the newest only if the page reaches
	 * the end of the stream. */
	if (f->next_offset >= a->end)
		read_succeeded(f, now);
}

static bool
needs_read(const struct cell_front *f, ogl_time now)
{
	return !f->quiet || !f->loaded || f->behind_since != 0 ||
	       now - f->fresh_as_of > QUIET_PROOF_MAX_AGE;
}

void
cell_front_read_settings(struct cell_front *f, ogl_time now)
{
	struct cell_read r = {.stream = CELL_SETTINGS,
	    .from = f->next_offset,
	    .wait_ms = f->informs ? INFORMING_READ_WAIT_MS : READ_WAIT_MS,
	    .timeout_ms = READ_TIMEOUT_MS};
	struct cell_newest q = {.stream = CELL_SETTINGS,
	    .after = f->listing.after,
	    .timeout_ms = READ_TIMEOUT_MS};

	if (f->reading || now < f->next_read_at || !needs_read(f, now))
		return;
	f->reading = true;
	f->read_sent_at = now;
	if (f->loaded)
		f->ops->read(f->ops->backend_ctx, &r, on_read, f);
	else
		f->ops->newest(f->ops->backend_ctx, &q, on_newest, f);
}
