// SPDX-License-Identifier: MIT
/// \file
/// \brief A worker that loses its runs without an end, as one that has restarted under the id that it had.
#include "cancelled_runs_fixture.hpp"

#include <trailjunction/jobs.hpp>

using namespace trailjunction;

namespace
{
	const task_run first_run{{job_id{"00000000000000a1"}, 0, 0, 0}, 1};
}

namespace
{
	using cancelled_runs_fixture::in_memory_worker;

	/// A worker port that gets no answer while the worker is down.
	class interruptible_port final : public worker_port
	{
	public:
		interruptible_port(boost::asio::io_context& io, in_memory_worker& worker, const bool& down)
			: io_{io},
			  port_{io, worker},
			  down_{down}
		{
		}

		boost::asio::awaitable<order_result> start(order_authority authority, run_start order,
												   instant deadline) override
		{
			if (down_)
				co_return co_await fail();
			co_return co_await port_.start(std::move(authority), std::move(order), deadline);
		}
		boost::asio::awaitable<order_result> stop(order_authority authority, task_run id, instant deadline) override
		{
			if (down_)
				co_return co_await fail();
			co_return co_await port_.stop(std::move(authority), std::move(id), deadline);
		}
		boost::asio::awaitable<listing_result> list(order_authority authority, listing_order order,
													instant deadline) override
		{
			if (down_)
			{
				const auto failure = co_await fail();
				co_return listing_result{failure, {}};
			}
			co_return co_await port_.list(std::move(authority), order, deadline);
		}
		boost::asio::awaitable<order_result> pace(order_authority, task_run, int, instant) override
		{
			co_return order_result{};
		}

	private:
		boost::asio::awaitable<order_result> fail()
		{
			co_await pause_for(io_, millis{20});
			co_return order_result{order_outcome::not_sent, 0};
		}

		boost::asio::io_context& io_;
		cancelled_runs_fixture::in_memory_worker_port port_;
		const bool& down_;
	};

	/// An owner, an agent and a worker that sends heartbeats; all on one event loop.
	struct system_fixture : job_term_fixture::owner_fixture
	{
		struct agent
		{
			agent(boost::asio::io_context& io, system_fixture& system)
				: runs{io,
					   [&io, &system](endpoint)
					   { return std::make_unique<interruptible_port>(io, system.worker, system.down); },
					   in_memory_worker::longest_lease, pacing_policy{},
					   [this]
					   {
						   if (links)
							   links->report_soon();
					   }}
			{
				links = std::make_unique<owner_links>(io, runs);
				REQUIRE(links->listen(system.link_address).ok());
			}

			std::unique_ptr<owner_links> links;
			run_manager runs;
		};

		/// \param states_start_time Whether the worker states the start time that tells its incarnations apart.
		explicit system_fixture(bool states_start_time) : worker_states_start_time{states_start_time}
		{
			settings.member = member_id{"entry-1"};
			restart_worker();
			begin_agent();
			stored::agent row;
			row.address = to_string(link_address);
			store.put(agent_partition, agents_table, "agent-1", encode_agent(row));
		}

		/// Starts an agent process; a former one gets no processor time any more.
		void begin_agent()
		{
			if (!link_address.port())
				link_address = cancelled_runs_fixture::free_address();
			current_agent.reset();
			agent_loop = std::make_unique<boost::asio::io_context>(1);
			current_agent = std::make_unique<agent>(*agent_loop, *this);
		}

		void restart_worker()
		{
			constexpr auto id = "i-1";
			worker = in_memory_worker{id};
			sequence = 0;
			++incarnations;
			if (worker_states_start_time)
				worker.incarnation = worker_incarnation{id, worker_start_time{incarnations}};
		}

		template <typename Until>
		bool run_until(Until until)
		{
			const auto end = boottime_now() + job_term_fixture::test_timeout;
			while (!until() && boottime_now() < end)
			{
				io.run_one_for(millis{2});
				agent_loop->poll();
				send_heartbeat();
			}
			return until();
		}

		void run_for(millis time)
		{
			const auto end = boottime_now() + time;
			(void)run_until([&] { return boottime_now() >= end; });
		}

		void send_heartbeat()
		{
			constexpr auto heartbeat_interval = millis{200};
			if (down || boottime_now() - heartbeat_sent_at < heartbeat_interval)
				return;
			heartbeat_sent_at = boottime_now();
			worker_heartbeat heartbeat;
			heartbeat.incarnation = worker.incarnation;
			heartbeat.service = service_id{"tally"};
			heartbeat.capacity = {8'000, 16'000, 0};
			heartbeat.clock_ms = worker.clock_ms();
			heartbeat.sequence = ++sequence;
			current_agent->runs.on_heartbeat(std::move(heartbeat));
		}

		void start_long_running_task()
		{
			begin_term();
			run_for(millis{300}); // time for the worker to get its first lease
			auto spec = job_term_fixture::one_task();
			spec.groups[0].long_running = true;
			store.put(submission_partition(first_run.task.job), submissions_table, first_run.task.job.str(),
					  encode_submission(job_term_fixture::some_queue(), spec));
			REQUIRE(run_until([&] { return worker.is_running(first_run); }));
			run_for(millis{1'500}); // until the owner has been told, and the former sequence numbers are higher
		}

		in_memory_worker worker{""};
		bool worker_states_start_time{};
		bool down{};
		std::uint64_t incarnations{};
		std::int64_t sequence{};
		instant heartbeat_sent_at{};
		endpoint link_address;
		std::unique_ptr<boost::asio::io_context> agent_loop;
		std::unique_ptr<agent> current_agent;
	};
}

TEST_CASE("a long-running task runs again after its worker has restarted under the same id", "[jobs]")
{
	// Guards against a task that counts as running for good although no worker lists its run.
	system_fixture test{GENERATE(false, true)};
	test.start_long_running_task();
	SECTION("before the agent noticed")
	{
		test.restart_worker();
	}
	SECTION("after the agent had reported it as unresponsive")
	{
		test.down = true;
		test.run_for(millis{1'500});
		test.restart_worker();
		test.down = false;
	}
	SECTION("and its agent has restarted too")
	{
		test.restart_worker();
		test.begin_agent();
	}
	SECTION("and the owner changes before the next listing")
	{
		test.restart_worker();
		test.begin_term();
	}
	SECTION("and the owner changes after it")
	{
		test.restart_worker();
		test.run_for(millis{1'000});
		test.begin_term();
	}
	CHECK(test.run_until([&] { return test.worker.runs() == 1; }));
}
