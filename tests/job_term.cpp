// SPDX-License-Identifier: MIT
/// \file
/// \brief Tests of job_term and job_owner with an in-memory store and simulated agents.
#include "job_term_fixture.hpp"

using namespace trailjunction;
using namespace trailjunction::testkit;
using namespace trailjunction::job_term_fixture;

TEST_CASE("a start is ordered only after its commit, also if the agent reconnects in between", "[jobs]")
{
	// With a slow store, a run that was ordered before its commit was unknown to the next owner, which started the task
	// twice.
	scene fixture;
	fixture.begin_term();
	REQUIRE(fixture.run_until([&] { return !fixture.agent.received_confirms.empty(); }));
	fixture.store.faults.hold_commits = true;
	fixture.submit(first_job, one_task());
	REQUIRE(fixture.run_until(
		[&] { return fixture.store.held_commits > 0 && saves_progress(fixture.store.requested_commits.back()); }));
	const auto claims = fixture.agent.claim_count;
	fixture.agent.close_link();
	REQUIRE(fixture.run_until([&] { return fixture.agent.claim_count > claims; }));
	const auto confirms = fixture.agent.received_confirms.size();
	fixture.agent.send_report(report_of("life-1"));
	REQUIRE(fixture.run_until([&] { return fixture.agent.received_confirms.size() > confirms; }));
	CHECK(fixture.agent.received_starts.empty());
	fixture.store.faults.hold_commits = false;
	REQUIRE(fixture.run_until([&] { return !fixture.agent.received_starts.empty(); }));
	CHECK(fixture.stored_job(first_job).tasks[0].run == 1);
	CHECK(fixture.stored_job(first_job).tasks[0].worker == worker_incarnation{"life-1"});
}

TEST_CASE("a new owner learns from a new worker incarnation that the runs of the previous one are lost", "[jobs]")
{
	// After a power loss of all instances, nothing was restarted until the lease of 6 s had expired.
	scene fixture;
	fixture.settings.contact = millis{600'000}; // no lease expires during this test
	fixture.settings.longest_run_lease = millis{600'000};
	fixture.begin_term();
	fixture.submit(first_job, one_task());
	REQUIRE(fixture.run_until([&] { return fixture.agent.received_starts.size() == 1; }));
	fixture.term->release();
	REQUIRE(fixture.run_until([&] { return fixture.term_over; }));
	fixture.agent.full_report = report_of("life-2");
	fixture.begin_term();
	REQUIRE(fixture.run_until([&] { return fixture.agent.received_starts.size() == 2; }));
	CHECK(fixture.agent.received_starts[1].worker == "life-2");
	CHECK(fixture.agent.received_starts[1].what.run == 2);
}

TEST_CASE("an incarnation reported by another agent does not affect the runs of a worker that is not reported",
		  "[jobs]")
{
	scene fixture;
	fixture.settings.contact = millis{600'000};
	fixture.settings.longest_run_lease = millis{600'000};
	fixture.begin_term();
	fixture.submit(first_job, one_task());
	REQUIRE(fixture.run_until([&] { return fixture.agent.received_starts.size() == 1; }));
	fixture.term->release();
	REQUIRE(fixture.run_until([&] { return fixture.term_over; }));
	agent_standin other{fixture.io};
	other.full_report = report_of("life-2");
	stored::agent row;
	row.address = to_string(other.link_address());
	fixture.store.put(agent_partition, agents_table, "agent-2", encode_agent(row));
	fixture.agent.full_report.worker.clear(); // the agent does not know its worker yet
	fixture.begin_term();
	REQUIRE(fixture.run_until([&] { return !other.received_confirms.empty(); }));
	other.send_report(report_of("life-2"));
	REQUIRE(fixture.run_until([&] { return other.received_confirms.size() > 1; }));
	CHECK(other.received_starts.empty());
	CHECK(fixture.stored_job(first_job).tasks[0].worker == worker_incarnation{"life-1"});
}

TEST_CASE("a member takes over at once only a row that an earlier process at its own address wrote", "[jobs]")
{
	const auto begins = [](const std::string& member, const std::string& address)
	{
		boost::asio::io_context io{1};
		memory_store store{io};
		job_entry_settings settings;
		settings.member = member_id{"entry-1"};
		settings.callers = *parse_endpoint("127.0.0.1:7001");
		settings.contact = millis{600'000}; // the lease of other members does not expire during this test
		const auto evacuations = platform::make_evacuation_rows();
		process_metrics metrics;
		job_owner owner{io, settings, store, evacuations, metrics, [](queue_depths) {
						}};
		stored::ownership row;
		row.epoch = 3;
		row.member = member;
		row.address = address;
		store.put(job_partition, owner_table, owner_key, encode_ownership(row));
		boost::asio::co_spawn(io, owner.run(), boost::asio::detached);
		const auto until = boottime_now() + millis{1'500};
		while (store.requested_commits.empty() && boottime_now() < until)
			io.run_one_for(millis{10});
		return !store.requested_commits.empty();
	};
	CHECK(begins("entry-1", "127.0.0.1:7001"));
	CHECK(!begins("entry-1", "127.0.0.2:7001")); // a process on a replaced instance may still run
	CHECK(!begins("entry-2", "127.0.0.1:7001"));
	CHECK(!begins("entry-1", ""));
}

TEST_CASE("an owner that cannot read its jobs pauses between takeovers", "[jobs]")
{
	boost::asio::io_context io{1};
	memory_store store{io};
	store.faults.refused_table = progress_table;
	job_entry_settings settings;
	settings.member = member_id{"entry-1"};
	settings.callers = *parse_endpoint("127.0.0.1:7001");
	const auto evacuations = platform::make_evacuation_rows();
	process_metrics metrics;
	job_owner owner{io, settings, store, evacuations, metrics, [](queue_depths) {
					}};
	boost::asio::co_spawn(io, owner.run(), boost::asio::detached);
	const auto until = boottime_now() + millis{1'000};
	while (boottime_now() < until)
		io.run_one_for(millis{10});
	CHECK(!store.requested_commits.empty());
	CHECK(store.requested_commits.size() < 20); // at most one per 100 ms
}

TEST_CASE("the depths of an owner that has not loaded its jobs yet are not published", "[jobs]")
{
	// After the owner was suspended, the first row of its successor said that no job waits, because the successor had
	// not loaded its jobs.
	boost::asio::io_context io{1};
	memory_store store{io};
	job_entry_settings settings;
	settings.member = member_id{"entry-2"};
	std::vector<queue_depths> published;
	const auto evacuations = platform::make_evacuation_rows();
	process_metrics metrics;
	job_owner standby{io,
					  settings,
					  store,
					  evacuations,
					  metrics,
					  [&](queue_depths depths)
					  {
						  published.push_back(std::move(depths));
					  }};
	stored::ownership row;
	row.epoch = 3;
	row.member = "entry-1";
	store.put(job_partition, owner_table, owner_key, encode_ownership(row));
	boost::asio::co_spawn(io, standby.run(), boost::asio::detached);
	const auto until = boottime_now() + millis{800}; // time for two reads; the row is not old enough to be taken over
	while (boottime_now() < until)
		io.run_one_for(millis{10});
	CHECK(published.empty());
	stored::queue_depth depth;
	depth.name = "checks";
	depth.waiting = 4;
	row.depths.push_back(depth);
	row.loaded = true;
	store.put(job_partition, owner_table, owner_key, encode_ownership(row));
	const auto end = boottime_now() + test_timeout;
	while (published.empty() && boottime_now() < end)
		io.run_one_for(millis{10});
	REQUIRE(!published.empty());
	CHECK(published[0].waiting[queue_id{"checks"}] == 4);
}

TEST_CASE("a store that fails immediately is retried after a pause", "[jobs]")
{
	// While the store reset connections, an owner sent 800 transactions in 4 s.
	scene fixture;
	fixture.begin_term();
	REQUIRE(fixture.run_until([&] { return !fixture.agent.received_confirms.empty(); }));
	fixture.store.faults.lost_responses = 1'000'000;
	fixture.store.faults.discard_lost_commits = true;
	fixture.submit(first_job, one_task());
	const auto before = fixture.store.requested_commits.size();
	const auto until = boottime_now() + millis{1'000};
	while (boottime_now() < until)
		fixture.io.run_one_for(millis{10});
	CHECK(fixture.store.requested_commits.size() - before < 30); // at most one per 40 ms
	fixture.store.faults = {};
	CHECK(fixture.run_until([&] { return !fixture.agent.received_starts.empty(); }));
}

TEST_CASE(
	"a store that is 60 times slower still accepts jobs concurrently with each other and with the owner's commits",
	"[jobs]")
{
	// While all rows were in one partition, a slow store accepted no jobs and the owner ordered no runs for 7 s.
	scene fixture;
	fixture.begin_term();
	REQUIRE(fixture.run_until([&] { return !fixture.agent.received_confirms.empty(); }));
	fixture.store.faults.transaction_duration = millis{180};
	job_gateway gateway{fixture.io, fixture.store, fixture.metrics};
	constexpr int jobs = 24; // the submissions of 3 s at peak load
	std::vector<job_call_outcome> ends;
	for (int i = 0; i < jobs; ++i)
		boost::asio::co_spawn(
			fixture.io,
			[&, i]() -> boost::asio::awaitable<void>
			{
				auto queue = some_queue();
				auto spec = one_task();
				const auto id = absl::StrFormat("%016x", i);
				const auto result = co_await gateway.submit(std::move(queue), job_id{id}, std::move(spec),
															boottime_now() + millis{3'000});
				ends.push_back(result.outcome);
			},
			boost::asio::detached);
	REQUIRE(fixture.run_until([&] { return ends.size() == jobs; }));
	CHECK(std::count(ends.begin(), ends.end(), job_call_outcome::done) == jobs);
	CHECK(
		fixture.run_until([&] { return fixture.agent.received_starts.size() == 16; })); // as many as fit on the worker
}

TEST_CASE("a new owner loads the stored pressures of fillers", "[jobs]")
{
	scene fixture;
	fixture.settings.contact = millis{6'000};
	pressure_model learnt;
	learnt.pairs[make_image_pair("serving", "filling")] = {0.02, 0.001, boottime_now()};
	fixture.store.put(job_partition, pressures_table, pressures_key,
					  encode_pressures(learnt, row_limits{}.value_bytes));
	auto serving = one_task();
	serving.groups[0].long_running = true;
	serving.groups[0].image = "serving";
	serving.groups[0].latency_target = millis{20};
	auto filling = one_task();
	filling.groups[0].filler = true;
	filling.groups[0].image = "filling";
	fixture.submit(first_job, serving);
	fixture.begin_term();
	REQUIRE(fixture.run_until([&] { return fixture.agent.received_starts.size() == 1; }));
	fixture.submit("00000000000000a2", filling);
	REQUIRE(fixture.run_until([&] { return fixture.agent.received_starts.size() == 2; }));
	REQUIRE(fixture.agent.received_starts[1].pressures.size() == 1);
	CHECK(fixture.agent.received_starts[1].pressures[0].milli == 20);
	// The owner stores the pressures again during its term, in a transaction without its lease.
	const auto stores_pressures = [](const row_transaction& change)
	{
		return change.put.size() == 1 && change.put.front().name.table == pressures_table;
	};
	const auto& commits = fixture.store.requested_commits;
	REQUIRE(fixture.run_until([&] { return std::any_of(commits.begin(), commits.end(), stores_pressures); }));
	const auto stored = decode_pressures(
		std::find_if(commits.begin(), commits.end(), stores_pressures)->put.front().value, boottime_now());
	REQUIRE(stored.ok());
	CHECK(stored->pairs.contains(make_image_pair("serving", "filling")));
}

TEST_CASE("reports of agents are not processed before all jobs are loaded", "[jobs]")
{
	// A new owner that connected to agents while it was still reading submissions did not know their runs. It stopped
	// them, acknowledged ends that were not stored, and tasks ran twice.
	scene fixture;
	fixture.begin_term();
	fixture.submit(first_job, one_task());
	REQUIRE(fixture.run_until([&] { return fixture.agent.received_starts.size() == 1; }));
	fixture.term->release();
	REQUIRE(fixture.run_until([&] { return fixture.term_over; }));
	wire::job_run running;
	running.what = fixture.agent.received_starts[0].what;
	fixture.agent.full_report.running.push_back(running);
	fixture.store.faults.read_duration = millis{150};
	const auto claims = fixture.agent.claim_count;
	fixture.begin_term();
	const auto confirms = fixture.agent.received_confirms.size();
	REQUIRE(fixture.run_until(
		[&] { return fixture.agent.claim_count > claims && fixture.agent.received_confirms.size() > confirms; }));
	fixture.agent.send_report(report_of("life-1"));
	REQUIRE(fixture.run_until([&] { return fixture.agent.received_confirms.size() > confirms + 1; }));
	CHECK(fixture.agent.received_stops.empty());
}

TEST_CASE("an expired job is removed in two steps, and a successor completes an interrupted removal", "[jobs]")
{
	scene fixture;
	fixture.settings.status_kept = millis{1};
	fixture.begin_term();
	fixture.submit(first_job, one_task());
	REQUIRE(fixture.run_until([&] { return fixture.agent.received_starts.size() == 1; }));
	auto report = report_of("life-1");
	wire::job_end end;
	end.number = 1;
	end.what = fixture.agent.received_starts[0].what;
	end.how = wire::run_end::end_done;
	report.ended.push_back(end);
	fixture.agent.send_report(report);
	const auto submitted = [&]
	{
		return !fixture.store.value(submission_partition(job_id{first_job}), submissions_table, first_job).empty();
	};
	const auto has_progress = [&]
	{
		return !fixture.store.value(job_partition, progress_table, first_job).empty();
	};
	REQUIRE(fixture.run_until([&] { return !submitted(); }));
	REQUIRE(fixture.run_until([&] { return !has_progress(); }));
	fixture.term->release();
	REQUIRE(fixture.run_until([&] { return fixture.term_over; }));

	// The state left by an owner that dies between the two steps.
	auto job = make_job(job_id{first_job}, some_queue(), one_task(), boottime_now());
	job.status = job_status::completed;
	fixture.store.put(job_partition, progress_table, first_job, encode_progress(job));
	fixture.begin_term();
	CHECK(fixture.run_until([&] { return !has_progress(); }));
	CHECK(fixture.agent.received_starts.size() == 1);
}

namespace
{
	/// Makes sequential client calls at one entry.
	struct calls
	{
		void submit(const std::string& id, millis time)
		{
			boost::asio::co_spawn(
				io,
				[this, id, time]() -> boost::asio::awaitable<void>
				{
					auto queue = some_queue();
					auto spec = one_task();
					const auto result =
						co_await gateway.submit(std::move(queue), job_id{id}, std::move(spec), boottime_now() + time);
					ends.push_back(result.outcome);
				},
				boost::asio::detached);
			io.restart(); // the context stopped when it ran out of work after the previous call
			const auto wanted = ends.size() + 1;
			const auto end = boottime_now() + test_timeout;
			while (ends.size() < wanted && boottime_now() < end)
				io.run_one_for(millis{10});
		}

		boost::asio::io_context io{1};
		memory_store store{io};
		process_metrics metrics;
		job_gateway gateway{io, store, metrics};
		std::vector<job_call_outcome> ends;
	};
}

TEST_CASE("a submission with an unknown outcome is not reported as refused", "[jobs]")
{
	calls fixture;
	fixture.store.faults.hold_commits = true;
	fixture.submit(first_job, millis{400});
	fixture.store.faults = {};
	fixture.store.faults.refuse_all = true;
	fixture.submit(first_job, millis{1'000});
	fixture.store.faults = {};
	fixture.submit(first_job, millis{1'000});
	REQUIRE(fixture.ends.size() == 3);
	CHECK(fixture.ends[0] == job_call_outcome::unknown);
	CHECK(fixture.ends[1] == job_call_outcome::unknown);
	CHECK(fixture.ends[2] == job_call_outcome::done);
	CHECK(fixture.metrics.expose().find("trailjunction_job_submit_total{outcome=\"unknown\"} 2") != std::string::npos);
}

TEST_CASE(
	"after an unanswered submission the store is read before the next one, which is refused if the read gets no answer",
	"[jobs]")
{
	constexpr const char* second_job = "00000000000000b2";
	calls fixture;
	fixture.store.faults.hold_commits = true;
	fixture.store.faults.read_duration = std::chrono::seconds{30};
	fixture.submit(first_job, millis{400});
	const auto commits_before = fixture.store.requested_commits.size();
	fixture.submit(second_job, millis{2'000});
	REQUIRE(fixture.ends.size() == 2);
	CHECK(fixture.ends[0] == job_call_outcome::unknown); // the commit got no answer
	CHECK(fixture.ends[1] == job_call_outcome::refused);
	CHECK(fixture.store.requested_commits.size() == commits_before);
	fixture.store.faults = {};
	fixture.submit(second_job, millis{1'000});
	fixture.submit(first_job, millis{1'000});
	fixture.submit(first_job, millis{1'000});
	CHECK(std::count(fixture.ends.begin(), fixture.ends.end(), job_call_outcome::done) == 3);
}

TEST_CASE("an entry that keeps failing to reach the store is not ready until the store answers again", "[jobs]")
{
	boost::asio::io_context io{1};
	memory_store store{io};
	process_metrics metrics;
	job_gateway gateway{io, store, metrics};
	const auto start = boottime_now();
	CHECK_FALSE(gateway.is_ready(start)); // no configuration yet
	gateway.apply(job_configuration{});
	CHECK(gateway.is_ready(start));
	gateway.record_store_result(false, start);
	CHECK(gateway.is_ready(start + millis{100}));
	gateway.record_store_result(false, start + millis{900});
	CHECK_FALSE(gateway.is_ready(start + millis{901}));
	gateway.record_store_result(true, start + millis{950});
	CHECK(gateway.is_ready(start + millis{2'000}));
}

TEST_CASE("a worker's new incarnation is stored no earlier than the last job that the preceding crash changed",
		  "[jobs]")
{
	// The size of a transaction is limited, so the changed jobs need several. If the incarnation was stored first and
	// the owner died, its successor did not know of the crash.
	constexpr int jobs = 16;
	scene fixture;
	fixture.begin_term();
	for (int i = 0; i < jobs; ++i)
		fixture.submit(absl::StrFormat("%016x", 0xb0 + i), one_task());
	REQUIRE(fixture.run_until([&] { return fixture.agent.received_starts.size() == jobs; }));
	auto report = report_of("life-1");
	for (const auto& order : fixture.agent.received_starts)
	{
		wire::job_run run;
		run.what = order.what;
		run.checkpoint = std::string(50'000, 'c');
		report.running.push_back(std::move(run));
	}
	const auto confirms = fixture.agent.received_confirms.size();
	fixture.agent.send_report(std::move(report));
	REQUIRE(fixture.run_until([&] { return fixture.agent.received_confirms.size() > confirms; }));
	const auto before = fixture.store.requested_commits.size();
	fixture.agent.send_report(report_of("life-2"));
	absl::flat_hash_set<std::string> saved; // jobs saved before or with the incarnation
	const auto stores_incarnation = [&](const row_transaction& change)
	{
		bool any = false;
		for (const auto& row : change.put)
		{
			any = any || (row.name.table == workers_table && decode_worker(row.value)->life == "life-2");
			if (row.name.table == progress_table)
				saved.insert(row.name.key);
		}
		return any;
	};
	auto next = before;
	bool stored = false;
	REQUIRE(fixture.run_until(
		[&]
		{
			for (; !stored && next < fixture.store.requested_commits.size(); ++next)
				stored = stores_incarnation(fixture.store.requested_commits[next]);
			return stored;
		}));
	CHECK(saved.size() == jobs);
}

TEST_CASE("an owner whose submission feed is silent while the store answers releases the row", "[jobs]")
{
	scene fixture;
	fixture.begin_term();
	REQUIRE(fixture.run_until([&] { return !fixture.agent.received_confirms.empty(); }));
	fixture.store.faults.hold_feeds = true;
	REQUIRE(fixture.run_until([&] { return fixture.term_over; }));
	const auto row = decode_ownership(fixture.store.value(job_partition, owner_table, owner_key));
	REQUIRE(row.ok());
	CHECK(row->released);
	CHECK(fixture.term->handed_over());
}

TEST_CASE("an owner keeps the row while the store does not answer at all", "[jobs]")
{
	scene fixture;
	fixture.begin_term();
	REQUIRE(fixture.run_until([&] { return !fixture.agent.received_confirms.empty(); }));
	fixture.store.faults.hold_feeds = true;
	fixture.store.faults.hold_commits = true;
	const auto end = boottime_now() + std::chrono::seconds{8};
	(void)fixture.run_until([&] { return fixture.term_over || boottime_now() > end; });
	CHECK_FALSE(fixture.term->handed_over());
}

TEST_CASE("after a planned end of a worker its runs are requeued at once, except those reported as done", "[jobs]")
{
	scene fixture;
	fixture.settings.contact = millis{600'000}; // no lease expires during this test
	fixture.settings.longest_run_lease = millis{600'000};
	fixture.begin_term();
	auto spec = one_task();
	spec.groups[0].count = 2;
	fixture.submit(first_job, spec);
	REQUIRE(fixture.run_until([&] { return fixture.agent.received_starts.size() == 2; }));
	auto last = report_of("life-1");
	last.draining = true;
	wire::job_lost_worker ended;
	ended.worker = "life-1";
	last.__set_lost(ended);
	wire::job_end done;
	done.number = 1;
	done.what = fixture.agent.received_starts[0].what;
	done.how = wire::run_end::end_done;
	last.ended.push_back(done);
	fixture.agent.send_report(std::move(last));
	const auto phase_of = [&](const wire::job_start& order)
	{
		return fixture.stored_job(first_job).tasks[from_wire(order.what).task.index].phase;
	};
	CHECK(fixture.run_until([&] { return phase_of(fixture.agent.received_starts[1]) == task_stage::waiting; }));
	CHECK(phase_of(fixture.agent.received_starts[0]) == task_stage::done);
}
