// SPDX-License-Identifier: MIT
/// \file
/// \brief Incarnations of a worker with the same id, as the agent and the owner tell them apart.
#include "job_term_fixture.hpp"
#include "run_manager_fixture.hpp"

#include <trailjunction/jobs/job_rows.hpp>

using namespace trailjunction;

namespace
{
	constexpr std::uint64_t some_time_ms = 1'700'000'000'000;
	constexpr std::int64_t second_clock_ms = 50;

	worker_incarnation incarnation_at(std::uint64_t start_ms)
	{
		return worker_incarnation{"life-1", worker_start_time{start_ms}};
	}
	const auto first = incarnation_at(some_time_ms);
	const auto second = incarnation_at(some_time_ms + 5'000);

	worker_heartbeat heartbeat_of(const worker_incarnation& incarnation, std::int64_t clock_ms, std::int64_t sequence)
	{
		auto out = run_manager_fixture::heartbeat_of(incarnation.id());
		out.incarnation = incarnation;
		out.clock_ms = clock_ms;
		out.sequence = sequence;
		return out;
	}

	/// An agent whose worker is restarted under the same id; calls name the id, answers state the start time.
	struct restarted_worker_fixture
	{
		class port final : public worker_port
		{
		public:
			explicit port(restarted_worker_fixture& test) : test_{test} {}

			boost::asio::awaitable<order_result> start(order_authority authority, run_start, instant) override
			{
				test_.tokens.push_back(authority.fencing_token);
				co_return order_result{order_outcome::done, test_.clock_ms};
			}
			boost::asio::awaitable<order_result> stop(order_authority authority, task_run, instant) override
			{
				test_.tokens.push_back(authority.fencing_token);
				++test_.stops;
				co_return order_result{order_outcome::done, test_.clock_ms};
			}
			boost::asio::awaitable<listing_result> list(order_authority authority, listing_order order,
														instant) override
			{
				co_await pause_for(test_.io, millis{5});
				++test_.calls;
				test_.tokens.push_back(authority.fencing_token);
				test_.orders.push_back(order);
				if (test_.down)
					co_return listing_result{{order_outcome::not_sent, 0}, {}};
				if (authority.fencing_token < test_.seen_token)
					co_return listing_result{{order_outcome::fenced, test_.clock_ms}, {}};
				if (authority.incarnation != test_.running)
					co_return listing_result{{order_outcome::other_incarnation, 0}, {}};
				co_return listing_result{{order_outcome::done, test_.clock_ms}, test_.listing};
			}
			boost::asio::awaitable<order_result> pace(order_authority, task_run, int, instant) override
			{
				co_return order_result{order_outcome::done, 0};
			}

		private:
			restarted_worker_fixture& test_;
		};

		static constexpr auto longest_lease = millis{5'000};

		explicit restarted_worker_fixture(millis lease = longest_lease, bool is_confirmed = true)
		{
			runs.set_lease(lease);
			runs.on_heartbeat(heartbeat_of(first, clock_ms, 57));
			await_calls(2);
			if (is_confirmed)
				confirm(first, 0);
		}

		/// The owner's answer to a report of the incarnation.
		void confirm(const worker_incarnation& confirmed, std::int64_t ends_kept)
		{
			wire::job_confirm confirmation;
			set_worker(confirmation, confirmed);
			confirmation.stamp_ms = runs.report(true).stamp_ms;
			confirmation.ends_kept = ends_kept;
			runs.confirm(confirmation);
		}

		void restart(const worker_incarnation& next)
		{
			running = next;
			clock_ms = second_clock_ms;
			listing = {};
		}
		template <typename Until>
		bool run_until(Until until)
		{
			const auto end = boottime_now() + run_manager_fixture::longest_wait;
			while (!until() && boottime_now() < end)
				io.run_one_for(millis{10});
			return until();
		}
		void await_calls(int more)
		{
			const auto before = calls;
			REQUIRE(run_until([&] { return calls >= before + more; }));
		}
		[[nodiscard]] worker_incarnation reported()
		{
			return worker_of(runs.report(true));
		}

		boost::asio::io_context io{1};
		worker_incarnation running{first};
		std::int64_t clock_ms{482'113};
		std::int64_t seen_token{};
		bool down{};
		worker_listing listing;
		int calls{};
		int stops{};
		std::vector<std::int64_t> tokens;
		std::vector<listing_order> orders;
		run_manager runs{io, [this](endpoint) { return std::make_unique<port>(*this); }, longest_lease, pacing_policy{},
						 [] {
						 }};
	};
}

TEST_CASE("an agent reports the next incarnation of its worker under the same id", "[jobs]")
{
	restarted_worker_fixture test;
	test.restart(second);
	test.runs.on_heartbeat(heartbeat_of(second, second_clock_ms, 1));
	REQUIRE(test.run_until([&] { return test.reported() == second; }));
	const auto report = test.runs.report(true);
	REQUIRE(report.__isset.lost);
	CHECK(worker_of(report.lost) == first);
}

TEST_CASE("a heartbeat of a former incarnation changes nothing, whichever start time is the higher one", "[jobs]")
{
	const auto former = GENERATE(some_time_ms - 60'000, some_time_ms + 60'000);
	restarted_worker_fixture test;
	test.restart(second);
	test.runs.on_heartbeat(heartbeat_of(second, second_clock_ms, 1));
	REQUIRE(test.run_until([&] { return test.reported() == second; }));
	test.runs.on_heartbeat(heartbeat_of(incarnation_at(former), 900'000, 500));
	test.await_calls(4);
	CHECK(test.reported() == second);
}

TEST_CASE("a late heartbeat of a former incarnation with the same start time hides none of the present one", "[jobs]")
{
	// Guards against starts that are refused for want of room, because all heartbeats are taken for late ones.
	restarted_worker_fixture test;
	test.restart(first);
	REQUIRE(test.run_until([&] { return test.reported() != first && !test.reported().empty(); }));
	test.runs.on_heartbeat(heartbeat_of(first, 482'113, 58));
	auto next = heartbeat_of(first, second_clock_ms, 1);
	next.capacity.cpu_milli = 1'000;
	test.runs.on_heartbeat(next);
	CHECK(test.runs.report(true).capacity.cpu_milli == 1'000);
}

TEST_CASE("a listing of the next incarnation tells nothing of the former one's runs", "[jobs]")
{
	// Guards against runs that start elsewhere before the agent knows which of them a late order has started again.
	restarted_worker_fixture test;
	test.listing.running.push_back({run_manager_fixture::some_run, "", 10, 0});
	test.await_calls(3);
	(void)test.runs.report(false);
	test.restart(second);
	test.await_calls(4);
	const auto report = test.runs.report(false);
	CHECK(report.unlisted.empty());
	CHECK(worker_of(report) == first);
}

TEST_CASE("after a call without an answer the next one carries neither lease nor acknowledgements", "[jobs]")
{
	// Guards against ends of the next incarnation that are acknowledged by a number of the former one.
	restarted_worker_fixture test;
	test.listing.ended.push_back({57, run_manager_fixture::some_run, run_outcome::done, ""});
	test.await_calls(3);
	test.confirm(first, 57);
	test.await_calls(2);
	REQUIRE(test.orders.back().ends_kept == 57);
	REQUIRE(test.orders.back().deadline_ms > 0);
	test.down = true;
	test.await_calls(2);
	test.restart(second);
	test.down = false;
	test.await_calls(3);
	CHECK(test.orders.back().ends_kept == 0);
	CHECK(test.orders.back().deadline_ms == 0);
}

TEST_CASE("an end is acknowledged only while the worker lists one that is", "[jobs]")
{
	restarted_worker_fixture test;
	test.confirm(first, 57);
	test.await_calls(3);
	CHECK(test.orders.back().ends_kept == 0);
}

TEST_CASE("each incarnation gets a higher fencing token, also after the instance's clock was set back", "[jobs]")
{
	// Guards against an order to the former incarnation that is carried out by the next one after its first listing.
	restarted_worker_fixture test;
	const auto earlier = incarnation_at(some_time_ms - 3'600'000);
	const auto former_token = test.tokens.back();
	test.restart(earlier);
	test.runs.on_heartbeat(heartbeat_of(earlier, second_clock_ms, 1));
	REQUIRE(test.run_until([&] { return test.reported() == earlier; }));
	test.await_calls(2);
	CHECK(test.tokens.back() > former_token);
}

TEST_CASE("an agent that a worker refuses for its fencing token raises it until it is accepted", "[jobs]")
{
	// Guards against an agent that stays shut out for as long as the former incarnation had lived.
	restarted_worker_fixture test;
	constexpr std::int64_t hour_ms = 3'600'000;
	test.seen_token = test.tokens.back() + hour_ms;
	REQUIRE(test.run_until([&] { return test.tokens.back() >= test.seen_token; }));
	test.await_calls(2);
	CHECK(test.runs.report(true).responsive);
}

TEST_CASE("runs that late orders have started are stopped if no owner confirms them within the former lease", "[jobs]")
{
	// Guards against a run that goes on under the worker's longest lease while its task starts elsewhere: the link to
	// the owner is down.
	const bool confirmed = GENERATE(false, true);
	restarted_worker_fixture test{millis{1'000}};
	test.restart(second);
	test.listing.running.push_back({run_manager_fixture::some_run, "", 10, 0});
	test.runs.on_heartbeat(heartbeat_of(second, second_clock_ms, 1));
	REQUIRE(test.run_until([&] { return test.reported() == second; }));
	CHECK(test.stops == 0);
	if (!confirmed)
	{
		CHECK(test.run_until([&] { return test.stops > 0; }));
		return;
	}
	test.confirm(second, 0);
	const auto former_lease_over = boottime_now() + millis{1'500};
	REQUIRE(test.run_until([&] { return boottime_now() > former_lease_over; }));
	CHECK(test.stops == 0);
}

TEST_CASE("a restarted agent that hears an old heartbeat first stops no run of its worker", "[jobs]")
{
	// Guards against work that is thrown away: the runs were started by the agent's predecessor.
	restarted_worker_fixture test{millis{5'000}, false};
	test.restart(second);
	test.listing.running.push_back({run_manager_fixture::some_run, "", 10, 0});
	test.runs.on_heartbeat(heartbeat_of(second, second_clock_ms, 1));
	REQUIRE(test.run_until([&] { return test.reported() == second; }));
	test.await_calls(4);
	CHECK(test.stops == 0);
}

TEST_CASE("a notice without a start time that comes before heartbeats of a ready worker is not its notice", "[jobs]")
{
	restarted_worker_fixture test;
	test.runs.on_worker_leaving(worker_incarnation{"life-1"});
	CHECK(test.runs.report(true).draining);
	test.runs.on_heartbeat(heartbeat_of(first, test.clock_ms, 58));
	CHECK_FALSE(test.runs.report(true).draining);
	test.runs.on_worker_leaving(second);
	CHECK_FALSE(test.runs.report(true).draining);
}

namespace
{
	using namespace job_term_fixture;

	wire::job_report report_of(const worker_incarnation& incarnation)
	{
		auto out = job_term_fixture::report_of(incarnation.id());
		set_worker(out, incarnation);
		return out;
	}

	/// An owner that has ordered one run on the first incarnation; no lease expires during the test.
	struct ordered_run_scene : scene
	{
		explicit ordered_run_scene(const worker_incarnation& reported = first)
		{
			settings.contact = millis{600'000};
			settings.longest_run_lease = millis{600'000};
			agent.full_report = report_of(reported);
			begin_term();
			submit(first_job, one_task());
			REQUIRE(run_until([&] { return agent.received_starts.size() == 1; }));
		}

		[[nodiscard]] job_task stored_task()
		{
			return stored_job(first_job).tasks[0];
		}

		const task_run ordered_run{{job_id{first_job}, 0, 0, 0}, 1};
	};

	wire::job_run running_row(const task_run& run_id)
	{
		return to_wire(listed_run{run_id, "", 10, 0});
	}
}

TEST_CASE("a run that a late order has started on the next incarnation is not started again", "[jobs]")
{
	ordered_run_scene test;
	auto report = report_of(second);
	report.running.push_back(running_row(test.ordered_run));
	const auto confirms = test.agent.received_confirms.size();
	test.agent.send_report(report);
	REQUIRE(test.run_until([&] { return test.agent.received_confirms.size() > confirms; }));
	REQUIRE(test.run_until([&] { return test.stored_task().worker == second; }));
	CHECK(test.stored_task().run == 1);
	CHECK(test.agent.received_stops.empty());
	CHECK(worker_of(test.agent.received_confirms.back()) == second);
}

TEST_CASE("a run that a late order has started and that has ended on the next incarnation is done", "[jobs]")
{
	ordered_run_scene test;
	auto report = report_of(second);
	report.ended.push_back(to_wire(listed_end{1, test.ordered_run, run_outcome::done, ""}));
	test.agent.send_report(report);
	REQUIRE(test.run_until([&] { return test.stored_job(first_job).status == job_status::completed; }));
	CHECK(test.agent.received_starts.size() == 1);
}

TEST_CASE("a run that the next incarnation does not have starts again at once, under the next number", "[jobs]")
{
	ordered_run_scene test;
	test.agent.send_report(report_of(second));
	REQUIRE(test.run_until([&] { return test.agent.received_starts.size() == 2; }));
	CHECK(worker_of(test.agent.received_starts[1]) == second);
	CHECK(test.agent.received_starts[1].what.run == 2);
}

TEST_CASE("a new owner learns from the start time that the runs of the former incarnation are lost", "[jobs]")
{
	ordered_run_scene test;
	test.term->release();
	REQUIRE(test.run_until([&] { return test.term_over; }));
	test.agent.full_report = report_of(second);
	test.begin_term();
	REQUIRE(test.run_until([&] { return test.agent.received_starts.size() == 2; }));
	CHECK(test.agent.received_starts[1].what.run == 2);
}

TEST_CASE("runs go on while agents are updated that did not report start times before", "[jobs]")
{
	// Guards against an update of agents that makes the owner start all tasks twice.
	ordered_run_scene test{worker_incarnation{"life-1"}};
	const bool owner_changes = GENERATE(false, true);
	auto report = report_of(first);
	report.running.push_back(running_row(test.ordered_run));
	if (owner_changes)
	{
		test.term->release();
		REQUIRE(test.run_until([&] { return test.term_over; }));
		test.agent.full_report = report;
		test.begin_term();
	}
	else
	{
		test.agent.send_report(report);
	}
	REQUIRE(test.run_until([&] { return test.stored_task().worker == first; }));
	CHECK(test.stored_task().run == 1);
	CHECK(test.agent.received_stops.empty());
	CHECK(test.stored_task().crashes.workers.empty());
}

TEST_CASE("a report without a start time is of the incarnation that the owner knows", "[jobs]")
{
	// Guards against an agent of an earlier version that makes the owner give up all runs.
	ordered_run_scene test;
	auto report = job_term_fixture::report_of("life-1");
	report.running.push_back(running_row(test.ordered_run));
	const auto confirms = test.agent.received_confirms.size();
	test.agent.send_report(report);
	REQUIRE(test.run_until([&] { return test.agent.received_confirms.size() > confirms; }));
	CHECK(test.agent.received_stops.empty());
	CHECK(test.stored_task().worker == first);
}

TEST_CASE("a new owner places a run on the incarnation that has it, whichever former one it was stored for", "[jobs]")
{
	// Guards against a run that is stopped, or whose end is acknowledged and not recorded: the row of the incarnation
	// for which it was ordered was not stored yet.
	const auto third = incarnation_at(some_time_ms + 9'000);
	const auto stored_for = GENERATE(incarnation_at(some_time_ms + 5'000), worker_incarnation{"life-1"});
	scene test;
	test.submit(first_job, one_task());
	auto job = test.stored_job(first_job);
	job.status = job_status::running;
	job.tasks[0].run = 1;
	job.tasks[0].phase = task_stage::ordered;
	job.tasks[0].worker = stored_for;
	test.store.put(job_partition, progress_table, first_job, encode_progress(job));
	stored::worker row;
	row.life = first.id();
	row.__set_start_ms(static_cast<std::int64_t>(some_time_ms));
	row.address = to_string(test.agent.link_address());
	test.store.put(job_partition, workers_table, "agent-1", encode_worker(row));
	test.agent.full_report = report_of(third);
	test.agent.full_report.running.push_back(running_row({{job_id{first_job}, 0, 0, 0}, 1}));
	test.begin_term();
	REQUIRE(test.run_until([&] { return test.stored_job(first_job).tasks[0].worker == third; }));
	CHECK(test.stored_job(first_job).tasks[0].run == 1);
	CHECK(test.agent.received_stops.empty());
}

TEST_CASE("an owner counts the longest lease for an incarnation that calls to the former one may have leased", "[jobs]")
{
	// Guards against a task that starts elsewhere while its run goes on: the worker took the lease for its own.
	scene test;
	test.settings.contact = millis{300}; // the owner's leases are far shorter than the platform's longest one
	test.settings.longest_run_lease = millis{4'000};
	test.agent.full_report = report_of(first);
	test.begin_term();
	test.submit(first_job, one_task());
	REQUIRE(test.run_until([&] { return test.agent.received_starts.size() == 1; }));
	auto report = report_of(second);
	report.running.push_back(running_row({{job_id{first_job}, 0, 0, 0}, 1}));
	const auto reported_at = boottime_now();
	test.agent.send_report(report);
	REQUIRE(test.run_until([&] { return test.stored_job(first_job).tasks[0].worker == second; }));
	test.agent.full_report.worker.clear(); // the agent is there again, and doesn't know its worker yet
	test.agent.close_link();
	REQUIRE(test.run_until([&] { return test.stored_job(first_job).tasks[0].worker.empty(); }));
	CHECK(boottime_now() - reported_at >= test.settings.longest_run_lease);
}

TEST_CASE("an agent reports how long its worker may hold the lease of a call to its former incarnation", "[jobs]")
{
	// Guards against a new owner that counts only the leases which owners confirm.
	restarted_worker_fixture test;
	const auto restarted_at = boottime_now();
	test.restart(second);
	test.runs.on_heartbeat(heartbeat_of(second, second_clock_ms, 1));
	REQUIRE(test.run_until([&] { return test.reported() == second; }));
	const auto report = test.runs.report(true);
	const auto reported_at = boottime_now();
	REQUIRE(report.__isset.unconfirmed_lease_ms);
	CHECK(reported_at + millis{report.unconfirmed_lease_ms} >=
		  longest_lease_end(restarted_at, restarted_worker_fixture::longest_lease));
}

TEST_CASE("an agent counts the longest lease anew if its worker has seen a higher fencing token", "[jobs]")
{
	// Guards against a call of an earlier process of the agent that extends the lease later than the first listing.
	restarted_worker_fixture test;
	test.seen_token = test.tokens.back() + 1;
	const auto fenced_at = boottime_now();
	test.await_calls(3);
	const auto report = test.runs.report(true);
	const auto reported_at = boottime_now();
	REQUIRE(report.__isset.unconfirmed_lease_ms);
	CHECK(reported_at + millis{report.unconfirmed_lease_ms} >=
		  longest_lease_end(fenced_at, restarted_worker_fixture::longest_lease));
}

TEST_CASE("the lease that a worker may hold lasts longer by the time for which its instance was suspended", "[jobs]")
{
	// Guards against a worker whose own clock stood still meanwhile.
	constexpr auto suspension = millis{60'000};
	restarted_worker_fixture test;
	test.restart(second);
	test.runs.on_heartbeat(heartbeat_of(second, second_clock_ms, 1));
	REQUIRE(test.run_until([&] { return test.reported() == second; }));
	const auto before = test.runs.report(true);
	simulate_suspension(suspension);
	const auto after = test.runs.report(true);
	REQUIRE(after.__isset.unconfirmed_lease_ms);
	constexpr auto time_between_reports = millis{1'000};
	CHECK(millis{after.unconfirmed_lease_ms} >= millis{before.unconfirmed_lease_ms} - time_between_reports);
}

TEST_CASE("a worker with another id holds no lease of a call to the former one", "[jobs]")
{
	restarted_worker_fixture test;
	const worker_incarnation other{"life-2", worker_start_time{some_time_ms + 5'000}};
	test.restart(other);
	test.runs.on_heartbeat(heartbeat_of(other, second_clock_ms, 1));
	REQUIRE(test.run_until([&] { return test.reported() == other; }));
	CHECK_FALSE(test.runs.report(true).__isset.unconfirmed_lease_ms);
}

TEST_CASE("a new owner counts the unconfirmed lease that an agent reports", "[jobs]")
{
	// Guards against a task that starts elsewhere while its run goes on under a lease that the former owner knew of.
	constexpr auto remaining = millis{3'000};
	scene test;
	test.settings.contact = millis{300};
	test.submit(first_job, one_task());
	auto job = test.stored_job(first_job);
	job.status = job_status::running;
	job.tasks[0].run = 1;
	job.tasks[0].phase = task_stage::running;
	job.tasks[0].worker = second;
	test.store.put(job_partition, progress_table, first_job, encode_progress(job));
	test.agent.full_report = report_of(second);
	test.agent.full_report.running.push_back(running_row({{job_id{first_job}, 0, 0, 0}, 1}));
	test.agent.full_report.responsive = false;
	test.agent.full_report.__set_unconfirmed_lease_ms(remaining.count());
	const auto began_at = boottime_now();
	test.begin_term();
	REQUIRE(test.run_until([&] { return test.stored_job(first_job).tasks[0].worker.empty(); }));
	CHECK(boottime_now() - began_at >= remaining);
}

namespace
{
	/// A lease that does not end before a test that waits for its end has failed.
	constexpr auto longer_than_tests = millis{3 * test_timeout};

	/// An owner whose leases are far shorter than the platform's longest one.
	struct short_lease_scene : scene
	{
		short_lease_scene()
		{
			settings.contact = millis{300};
			settings.longest_run_lease = millis{4'000};
			agent.full_report = report_of(first);
		}

		static task_run run_of(std::uint32_t index)
		{
			return {{job_id{first_job}, 0, 0, index}, 1};
		}

		/// Lets the owner start all tasks of a job; the worker confirms them.
		void start_tasks(std::uint32_t count)
		{
			begin_term();
			auto spec = one_task();
			spec.groups[0].count = count;
			submit(first_job, spec);
			REQUIRE(run_until([&] { return agent.received_starts.size() == count; }));
			auto report = report_of(first);
			report.full = false;
			for (std::uint32_t i = 0; i < count; ++i)
				report.started.push_back(to_wire(run_of(i)));
			agent.send_report(report);
		}

		/// Reports a run as listed, and waits for the confirmation.
		void list(const task_run& run_id)
		{
			auto report = report_of(first);
			report.full = false;
			report.running.push_back(running_row(run_id));
			const auto confirms = agent.received_confirms.size();
			const auto is_confirmed = [&]
			{
				agent.send_report(report);
				return agent.received_confirms.size() > confirms;
			};
			REQUIRE(run_until(is_confirmed));
		}

		/// Cuts the worker off from its agent.
		void cut_off()
		{
			agent.full_report.responsive = false;
			auto report = agent.full_report;
			report.full = false;
			agent.send_report(report);
		}

		void await_release(std::size_t task)
		{
			REQUIRE(run_until([&] { return stored_job(first_job).tasks[task].worker.empty(); }));
		}

		/// Stores a running job with one task in the given phase.
		void store_task(task_stage phase)
		{
			submit(first_job, one_task());
			auto job = stored_job(first_job);
			job.status = job_status::running;
			job.tasks[0].run = 1;
			job.tasks[0].phase = phase;
			job.tasks[0].is_listed = phase == task_stage::running;
			job.tasks[0].worker = first;
			store.put(job_partition, progress_table, first_job, encode_progress(job));
		}
	};
}

TEST_CASE("an owner counts the longest lease for a run that no listing has shown", "[jobs]")
{
	// Guards against a task that starts elsewhere while the next incarnation, of which no agent has heard, has its run.
	short_lease_scene test;
	const auto began_at = boottime_now();
	test.start_tasks(1);
	test.cut_off();
	test.await_release(0);
	CHECK(boottime_now() - began_at >= test.settings.longest_run_lease);
}

TEST_CASE("a run that a listing has shown waits for no other lease than its owner's", "[jobs]")
{
	short_lease_scene test;
	const auto began_at = boottime_now();
	test.start_tasks(2);
	test.list(test.run_of(0));
	test.cut_off();
	test.await_release(0);
	CHECK(test.stored_job(first_job).tasks[1].worker == first);
	test.await_release(1);
	CHECK(boottime_now() - began_at >= test.settings.longest_run_lease);
	const auto job = test.stored_job(first_job);
	CHECK(job.tasks[0].crashes.workers.size() == 1);
	CHECK(job.tasks[1].crashes.workers.size() == 1);
	CHECK(job.tasks[0].crashes.blame + job.tasks[1].crashes.blame < 1.0); // shared once, although lost one by one
}

TEST_CASE("runs that were lost one by one with their worker are released at once by its next incarnation", "[jobs]")
{
	short_lease_scene test;
	test.settings.longest_run_lease = longer_than_tests;
	test.start_tasks(2);
	test.list(test.run_of(0));
	test.cut_off();
	test.await_release(0);
	test.agent.send_report(report_of(second));
	CHECK(test.run_until([&] { return test.stored_job(first_job).tasks[1].worker != first; }));
}

TEST_CASE("a new owner counts the longest lease for a run of which it knows only the order", "[jobs]")
{
	short_lease_scene test;
	test.store_task(task_stage::ordered);
	test.agent.full_report.worker.clear();
	const auto began_at = boottime_now();
	test.begin_term();
	test.await_release(0);
	CHECK(boottime_now() - began_at >= test.settings.longest_run_lease);
}

TEST_CASE("a new owner counts its own lease for a run that its predecessor has seen listed", "[jobs]")
{
	short_lease_scene test;
	test.settings.longest_run_lease = longer_than_tests;
	test.store_task(task_stage::running);
	test.agent.full_report.worker.clear();
	test.begin_term();
	test.await_release(0);
}

namespace
{
	/// The clock of memory_store, in ms.
	std::int64_t store_now_ms()
	{
		return to_millis(boottime_now());
	}

	/// Stores a running task and the row of its worker, whose agent no owner can reach any more.
	struct unheard_agent_scene : short_lease_scene
	{
		void store_worker(millis unconfirmed_lease)
		{
			store_task(task_stage::running);
			stored::worker row;
			row.life = first.id();
			row.__set_start_ms(static_cast<std::int64_t>(some_time_ms));
			row.__set_unconfirmed_lease_end_ms(store_now_ms() + unconfirmed_lease.count());
			row.address = to_string(agent.link_address());
			store.put(job_partition, workers_table, "agent-1", encode_worker(row));
			agent.full_report.worker.clear();
		}
	};
}

TEST_CASE("a new owner that cannot reach an agent counts the unconfirmed lease that its predecessor stored", "[jobs]")
{
	// Guards against a task that starts elsewhere while its run goes on under a lease that only the former owner knew
	// of.
	constexpr auto remaining = millis{3'000};
	unheard_agent_scene test;
	const auto stored_at = boottime_now();
	test.store_worker(remaining);
	test.begin_term();
	test.await_release(0);
	CHECK(boottime_now() - stored_at >= remaining);
}

TEST_CASE("a new owner counts no stored lease that is longer than the platform's longest one", "[jobs]")
{
	// Guards against tasks that wait for hours because the store's clock was set back.
	unheard_agent_scene test;
	test.store_worker(millis{3'600'000});
	const auto began_at = boottime_now();
	test.begin_term();
	test.await_release(0);
	CHECK(boottime_now() - began_at >= test.settings.longest_run_lease);
}

TEST_CASE("an owner stores until when a worker may hold a lease that no owner has confirmed", "[jobs]")
{
	constexpr auto remaining = millis{3'000};
	short_lease_scene test;
	test.agent.full_report.__set_unconfirmed_lease_ms(remaining.count());
	const auto stored_worker = [&]
	{
		const auto row = test.store.value(job_partition, workers_table, "agent-1");
		return row.empty() ? stored::worker{} : *decode_worker(row);
	};
	auto least_end_ms = store_now_ms() + remaining.count();
	test.begin_term();
	REQUIRE(test.run_until([&] { return !stored_worker().life.empty(); }));
	CHECK(stored_worker().unconfirmed_lease_end_ms >= least_end_ms);

	// The agent has found that the lease may end later, without another incarnation.
	constexpr auto longer = millis{3'900};
	auto report = test.agent.full_report;
	report.full = false;
	report.__set_unconfirmed_lease_ms(longer.count());
	least_end_ms = store_now_ms() + longer.count();
	test.agent.send_report(report);
	REQUIRE(test.run_until([&] { return stored_worker().unconfirmed_lease_end_ms >= least_end_ms; }));
}

TEST_CASE("an owner's confirmation acknowledges only ends that the present incarnation has listed", "[jobs]")
{
	// Guards against ends that are never reported: an owner of an earlier version counts on over a restart.
	restarted_worker_fixture test;
	test.restart(second);
	test.runs.on_heartbeat(heartbeat_of(second, second_clock_ms, 1));
	REQUIRE(test.run_until([&] { return test.reported() == second; }));
	wire::job_confirm confirmation;
	confirmation.worker = second.id();
	confirmation.stamp_ms = test.runs.report(true).stamp_ms;
	confirmation.ends_kept = 57;
	test.runs.confirm(confirmation);
	test.listing.ended.push_back({1, run_manager_fixture::some_run, run_outcome::done, ""});
	test.await_calls(3);
	CHECK(test.runs.report(true).ended.size() == 1);
}

TEST_CASE("stored progress keeps incarnations with the same id apart, and rows of earlier versions name the id alone",
		  "[jobs]")
{
	job_spec spec = one_task();
	spec.groups[0].count = 3;
	const auto now = boottime_now();
	auto job = make_job(job_id{first_job}, some_queue(), spec, now);
	const std::vector<worker_incarnation> workers{first, second, worker_incarnation{"life-1"}};
	for (std::size_t i = 0; i < workers.size(); ++i)
	{
		job.tasks[i].run = 1;
		job.tasks[i].phase = task_stage::ordered;
		job.tasks[i].worker = workers[i];
	}
	auto read = make_job(job_id{first_job}, some_queue(), spec, now);
	REQUIRE(decode_progress(read, encode_progress(job), now).ok());
	for (std::size_t i = 0; i < workers.size(); ++i)
		CHECK(read.tasks[i].worker == workers[i]);
}
