/* Learned run times of steps: scripted ends of runs, and what the scheduler
 * takes for the expected run time. */

#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "sched_impl.h"
#include "straggler.h"
}

namespace
{

class Learned : public testing::Test
{
      protected:
	Learned()
	{
		ops_.log = [](void *ctx, const char *, const char *event,
			       const char *text) {
			static_cast<Learned *>(ctx)->lines_.push_back(
			    std::string(event) + " " + text);
		};
		ops_.observe = [](void *ctx, const char *name, uint64_t v) {
			auto *t = static_cast<Learned *>(ctx);

			(*name == 'r' ? t->error_ : t->declared_error_) = v;
		};
		ops_.ctx = this;
		l_ = cell_learned_init(&ops_);
	}

	~Learned() override
	{
		for (struct cell_job *j : jobs_)
			cell_job_free(j);
		cell_learned_end(l_);
	}

	/* A job of two steps, one after the other. */
	struct cell_job *job(uint32_t tasks, uint32_t declared_ms)
	{
		char id[] = "0000000000000001", q[] = "q", t[] = "t";
		Ogl__CellJob d = OGL__CELL_JOB__INIT;
		Ogl__CellStep s[2] = {
		    OGL__CELL_STEP__INIT, OGL__CELL_STEP__INIT};
		Ogl__CellStep *steps[2] = {&s[0], &s[1]};
		uint32_t after = 0;
		uint8_t packed[256];

		s[0].count = s[1].count = tasks;
		s[0].estimate_ms = s[1].estimate_ms = declared_ms;
		s[1].after = &after;
		s[1].n_after = 1;
		d.id = id;
		d.queue = q;
		d.team = t;
		d.steps = steps;
		d.n_steps = 2;
		size_t n = ogl__cell_job__pack(&d, packed);
		struct cell_job *j = cell_job_new(
		    ogl__cell_job__unpack(nullptr, n, packed), now_);

		cell_job_begin_occurrence(j, 0, now_);
		jobs_.push_back(j);
		return j;
	}

	static struct cell_stage *stage(struct cell_job *j)
	{
		struct cell_task_name name = {};

		return cell_job_stage(j, &name);
	}

	/* A run of the job's first task that waited for its start. */
	struct cell_run run_of(struct cell_job *j, ogl_time waited_ms = 10)
	{
		struct cell_run r = {};

		r.worker = &worker_;
		r.stage = stage(j);
		r.start_sent = true;
		r.created_at = now_;
		r.running_since = now_ + waited_ms * OGL_MS;
		return r;
	}

	void end(const struct cell_run &r, ogl_time ms, double pace = 1)
	{
		now_ = r.running_since + ms * OGL_MS;
		cell_learned_run_ended(l_, &r, CELL_END_DONE, pace, now_);
	}

	/* Ends jobs of one task that takes four times the declared time. */
	void learn(unsigned jobs, uint32_t declared_ms = 100)
	{
		for (; jobs > 0; jobs--)
			end(run_of(job(1, declared_ms)), 4 * declared_ms);
	}

	struct cell_job *update(struct cell_job *j)
	{
		cell_learned_update_job(l_, j, now_);
		return j;
	}

	double expected_ms()
	{
		return cell_learned_run_ms(update(job(1, 100)), 0);
	}

	struct cell_ops ops_ = {};
	struct cell_learned *l_ = nullptr;
	struct cell_worker worker_ = {};
	std::vector<struct cell_job *> jobs_;
	std::vector<std::string> lines_;
	uint64_t error_ = 0;
	uint64_t declared_error_ = 0;
	ogl_time now_ = 100 * OGL_SEC;
	bool stalled_ = false;
};

/* Guards against estimates from too few jobs, and against those of the last
 * owner after a takeover. */
TEST_F(Learned, DeclaredTimesHoldUntilEightStepsHaveEnded)
{
	learn(7);
	EXPECT_EQ(100, expected_ms());
	learn(93);
	EXPECT_NEAR(400, expected_ms(), 40);
	EXPECT_EQ(200, cell_learned_chain_ms(job(1, 100)));
	struct cell_job *j = update(job(1, 100));
	EXPECT_NEAR(800, cell_learned_chain_ms(j), 80);
	EXPECT_EQ(cell_learned_chain_ms(j), cell_learned_chain_from_ms(j, 0));
	EXPECT_EQ(cell_learned_run_ms(j, 1), cell_learned_chain_from_ms(j, 1));
	cell_learned_clear(l_);
	EXPECT_EQ(100, expected_ms());
}

/* Guards against work that counts as in time because it declared too little:
 * others that could be in time would wait for it. */
TEST_F(Learned, OrderFollowsLearnedTimes)
{
	struct cell_queue q = {};
	struct cell_job *j = job(1, 100);

	q.objective_ms = 500;
	learn(100);
	j->accepted = now_;
	EXPECT_EQ(0u, cell_sched_precedence_of(&q, stage(j), now_));
	EXPECT_FALSE(cell_sched_deadline_is_tight(&q, stage(j), now_));
	update(j);
	EXPECT_EQ(1u, cell_sched_precedence_of(&q, stage(j), now_));
	EXPECT_TRUE(cell_sched_deadline_is_tight(&q, stage(j), now_));
}

/* Guards against forgetting all other jobs over the tasks of one step, which
 * share the error of one declaration. */
TEST_F(Learned, TasksOfAStepCountAsOneSample)
{
	struct cell_job *wide = job(100, 100);

	for (unsigned i = 0; i < 100; i++)
		end(run_of(wide), 900);
	EXPECT_EQ(100, expected_ms());
}

/* Guards against accepting work that would end too late because it declared too
 * little, and against refusing it for ever while nothing waits. */
TEST_F(Learned, ForecastFollowsLearnedTimes)
{
	struct cell_limits limits = {};
	struct cell_fleet_events events = {};
	struct cell_advice_events advice_events = {};
	struct cell_sched_parts parts = {};

	parts.ops = &ops_;
	parts.fleet = cell_fleet_init(&ops_, &limits, &events);
	parts.advice = cell_advice_init(&ops_, &advice_events);
	GHashTable *workers = cell_fleet_workers(parts.fleet);
	struct cell_sched *s = cell_sched_init(&parts);
	struct cell_job *j = job(1, 100);

	j->queue_config = g_new0(struct cell_queue, 1);
	j->queue_config->objective_ms = 1780;
	learn(100);
	/* A closure is expected to last 5 s. */
	worker_.listed = worker_.draining = true;
	worker_.runs = g_hash_table_new(nullptr, nullptr);
	g_hash_table_insert(workers, const_cast<char *>("w"), &worker_);
	EXPECT_EQ(0, cell_sched_forecast(s, j, now_));
	EXPECT_GT(cell_sched_forecast(s, update(j), now_), 0);
	worker_.draining = false;
	j->queue_config->objective_ms = 1;
	EXPECT_EQ(0, cell_sched_forecast(s, j, now_));
	g_hash_table_steal(workers, "w");
	g_hash_table_unref(worker_.runs);
	cell_sched_end(s);
	cell_advice_end(parts.advice);
	cell_fleet_end(parts.fleet);
}

/* Guards against taking the wait of a gang's members, what is left after a
 * checkpoint, or a start that was long unanswered for a run time. */
TEST_F(Learned, OnlyWholeRunsWithoutWaitingCount)
{
	for (unsigned i = 0; i < 100; i++) {
		struct cell_job *j = job(2, 100);
		struct cell_stage *st = stage(j);
		struct cell_run first = run_of(j), last = run_of(j, 100);

		j->def->steps[0]->gang = 1;
		st->tasks[0].active = &first;
		st->tasks[1].active = &last;
		end(first, 490);
		st->tasks[0].active = st->tasks[1].active = nullptr;
		j = job(1, 100);
		cell_task_save_checkpoint(&stage(j)->tasks[0], "c");
		end(run_of(j), 50);
		end(run_of(job(1, 100), 1000), 50);
	}
	EXPECT_NEAR(400, expected_ms(), 20);
}

/* Guards against stopping runs whose job declared too little: on a worker that
 * is slow only because of them, both paces would be high. */
TEST_F(Learned, StragglersAreComparedWithLearnedTimes)
{
	struct cell_job *j = job(1, 10000);
	struct cell_run r = run_of(j);

	learn(100, 10000);
	r.percent = 25;
	r.progress = {9000, 25, 1000, 5};
	worker_.lease.clock_ms = 9000;
	EXPECT_TRUE(cell_straggler_is_slow(&r, 4, 2.5, &stalled_));
	update(j);
	EXPECT_FALSE(cell_straggler_is_slow(&r, 4, 2.5, &stalled_) || stalled_);
	r.progress.clock_ms = worker_.lease.clock_ms = 25000;
	EXPECT_TRUE(cell_straggler_is_slow(&r, 4, 2.5, &stalled_));
	EXPECT_FALSE(cell_straggler_is_slow(&r, 1, 2.5, &stalled_));
}

/* Guards against taking slow workers for longer work. */
TEST_F(Learned, PaceOfWorkerIsTakenOut)
{
	for (unsigned i = 0; i < 400; i++)
		end(run_of(job(1, 100)), 240, 2.4);
	EXPECT_NEAR(100, expected_ms(), 5);
}

/* Guards against taking runs that were declared too short, and make their
 * worker look slow for a moment, for runs on a slow worker. */
TEST_F(Learned, PaceOfMisdeclaredRunsIsNotTakenOut)
{
	struct cell_job *j = nullptr;

	for (unsigned i = 0; i < 1000; i++) {
		j = job(1, 100);
		if (i % 10 < 9) {
			end(run_of(j), 100);
			continue;
		}
		*j->def->team = 'u';
		end(run_of(j), 1000, 8);
	}
	EXPECT_GT(cell_learned_run_ms(update(j), 0), 600);
}

/* Guards against holding a job to the objective of the time that it declared,
 * when its caller counts with the time it takes. */
TEST_F(Learned, ObjectiveFollowsLearnedTimes)
{
	struct cell_queue q = {};
	struct cell_job *j = job(1, 100);

	q.objective_ms = 300;
	q.slack = 1.5;
	learn(100);
	EXPECT_EQ(600, cell_sched_queue_objective_ms(&q, j));
	EXPECT_NEAR(1500, cell_sched_queue_objective_ms(&q, update(j)), 120);
}

/* Guards against an operator who can't see whether estimates are better than
 * declarations, and against a line for each run. */
TEST_F(Learned, ErrorsAreShown)
{
	learn(100);
	for (unsigned i = 0; i < 30; i++)
		end(run_of(update(job(1, 100))), 400);
	EXPECT_EQ(750u, declared_error_);
	EXPECT_LT(error_, 100u);
	ASSERT_EQ(2u, lines_.size());
	EXPECT_EQ(0u, lines_[0].find("runtime_learned queue=q samples=1"));
	EXPECT_NE(
	    std::string::npos, lines_[0].find(" declared_error_permille=750 "));
}

} // namespace
