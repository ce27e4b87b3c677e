/*
 * The state of the election, and what its files use of each other.
 */

#ifndef OGL_CELL_LEAD_IMPL_H
#define OGL_CELL_LEAD_IMPL_H

#include "lead.h"
#include "lease.h"

/* The timeout spans three heartbeats, so that one lost or slow append does not
 * end an ownership. */
#define HEARTBEAT_INTERVAL (400 * OGL_MS)
#define HEARTBEAT_TIMEOUT (1300 * OGL_MS)
/* Timeout for an owner whose address refuses connections or that does not
 * answer pings.  Its process, machine or network has probably failed, so one
 * missed heartbeat is enough. */
#define HEARTBEAT_TIMEOUT_DEAD (650 * OGL_MS)
#define APPEND_TIMEOUT_MS 900
#define PROBE_TIMEOUT_MS 600
#define PLAN_KEY "shards"
#define PLANNER_KEY "planner"

/* The ownership of one shard. */
struct lead_shard {
	struct cell_lead *lead;
	uint32_t shard;
	uint64_t epoch;          /* highest known */
	uint64_t claims_end;     /* end of the claims read, 0 if below epoch */
	uint64_t resigned_epoch; /* last epoch whose owner has resigned */
	uint64_t reported_epoch; /* epoch of the last changed event */
	char *owner;             /* address; NULL: vacant or never claimed */
	bool is_owner;           /* this node is the owner */
	/* Last sign of the owner, or last failed read: the heartbeat timeout
	 * starts here. */
	ogl_time last_heard;

	/* The owner's clock and this node's at the same time, for an epoch. */
	uint64_t clock_epoch;
	uint64_t clock_sent_us;
	ogl_time clock_at;

	uint64_t suspect_epoch; /* epoch whose owner may be unable, 0 if none */
	bool reading_claims;
	bool claiming;
	ogl_time claim_sent_at;
	ogl_time claim_at; /* OGL_NEVER unless scheduled */
	ogl_time no_claim_until;
	unsigned heartbeats_in_flight;
	bool announced; /* a heartbeat of this ownership was stored */
	ogl_time next_heartbeat_at;
	ogl_time heartbeat_took;  /* how long the last answered one took */
	ogl_time heartbeat_ok_at; /* last heartbeat stored, or ownership won */
	bool heartbeat_refused;   /* the last answer was a refusal */
	ogl_time unreachable_at;  /* last report that it is unreachable */
};

struct cell_lead {
	const struct cell_ops *ops;
	struct cell_lead_events events;
	char *node;
	char *addr;
	uint64_t boot;
	int32_t weak_delay_ms; /* added to claims of a weak machine */
	ogl_time able_timeout;
	GRand *rand;

	bool quiet; /* see cell_lead_set_quiet */
	/* There may be records on the stream that are older than what peers
	 * have told since the last read. */
	bool behind;
	bool loaded; /* the newest record of each key was read once */
	bool reading;
	bool newest_wanted; /* next read gets the newest record of each key */
	/* Of a listing of the newest records that is under way. */
	char *list_after; /* last key of the previous page, NULL at the first */
	uint64_t list_end;
	ogl_time list_sent_at;
	bool list_without_shards; /* begun without the number of shards */
	ogl_time read_sent_at;
	ogl_time next_read_at; /* no read is sent before this time */
	uint64_t next_offset;  /* offset to read from */
	ogl_time last_read_ok;
	bool read_failing;        /* a read has failed since last_read_ok */
	ogl_time outage_ended_at; /* first answer after the last outage */
	ogl_time confirmed_at;    /* when the last complete read was sent */
	bool probing;
	ogl_time probe_sent_at;

	bool planning;   /* an append about the number of shards is in flight */
	bool is_planner; /* this node took the last turn */
	ogl_time planner_since; /* of the last turn that is known */
	uint32_t shards;
	struct lead_shard *by_shard;
	ogl_time claim_took;   /* how long the last successful claim took */
	bool claiming_stopped; /* the process is about to end */
};

/* ---- lead.c ----------------------------------------------------------- */

void cell_lead_log_owner(
    struct lead_shard *s, const char *event, const char *addr);
void cell_lead_step_down(struct lead_shard *s, ogl_time now);
void cell_lead_set_owner(struct lead_shard *s, const char *addr, ogl_time now);
bool cell_lead_from_earlier_boot(
    const struct cell_lead *l, const Ogl__CellLead *m);
void cell_lead_append(
    struct lead_shard *s, Ogl__CellLead *m, cell_append_fn *done, void *arg);
/* Appends a claim or heartbeat; fills in the node and the shard. */

/* ---- lead_claim.c ----------------------------------------------------- */

void cell_lead_read_claims(struct lead_shard *s);
void cell_lead_send_claim(struct lead_shard *s, ogl_time now);
void cell_lead_schedule_claim(struct lead_shard *s, ogl_time now);
bool cell_lead_is_preferred(const struct lead_shard *s);

/* ---- lead_read.c ------------------------------------------------------ */

void cell_lead_note_owner_clock(
    struct lead_shard *s, uint64_t epoch, uint64_t sent_us, ogl_time now);
Ogl__CellLead *cell_lead_unpack(
    struct cell_lead *l, const struct cell_record *r);
/* Returns NULL, and logs it, if the record is unreadable. */
void cell_lead_start_read(struct cell_lead *l, ogl_time now);
/* Starts a read of the stream if one is due. */

/* ---- lead_plan.c ------------------------------------------------------ */

void cell_lead_apply_plan(
    struct cell_lead *l, const struct cell_record *r, ogl_time now);
void cell_lead_apply_planner(
    struct cell_lead *l, const struct cell_record *r, ogl_time now);

#endif
