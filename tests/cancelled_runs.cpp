// SPDX-License-Identifier: MIT
/// \file
/// \brief What ends the runs of a cancelled job: an owner, its agents and a worker whose answers the test picks.
#include "../packages/agent/src/connection/owner_links.hpp"
#include "../packages/agent/src/process/run_keeper.hpp"
#include "../packages/entry/src/process/job_owner.hpp"

#include <trailjunction/jobs.hpp>
#include <trailjunction/net/coroutines.hpp>
#include <trailjunction/testkit/memory_store.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <set>

using namespace trailjunction;
using namespace trailjunction::testkit;

namespace
{
	constexpr const char* some_job = "00000000000000a1";
	constexpr auto longest_wait = std::chrono::seconds{20}; // until a test that cannot go on gives up

	/// A worker as the platform's pages describe it, with orders that are carried out when the test says so.
	class played_worker
	{
	public:
		explicit played_worker(std::string name) : life{std::move(name)} {}

		[[nodiscard]] std::int64_t clock_ms() const
		{
			return std::chrono::duration_cast<millis>(steady_now() - began_).count() + 1'000;
		}
		[[nodiscard]] bool is_running(const task_run& what)
		{
			settle();
			return running_.contains(what);
		}
		[[nodiscard]] std::size_t runs()
		{
			settle();
			return running_.size();
		}
		/// How the run ended; nothing while it has not, or was never there.
		[[nodiscard]] std::optional<run_outcome> end_of(const task_run& what)
		{
			settle();
			const auto found = ended_.find(what);
			return found == ended_.end() ? std::nullopt : std::optional{found->second};
		}
		/// Whether starts of the run are taken for old ones.
		[[nodiscard]] bool is_closed(const task_run& what) const
		{
			const auto found = closed_.find(what.task);
			return found != closed_.end() && what.run <= found->second;
		}
		[[nodiscard]] millis lease_left() const
		{
			return millis{lease_ms_ - clock_ms()};
		}

		order_result start(const order_authority& authority, const run_start& order)
		{
			settle();
			if (const auto refusal = check(authority))
				return answer(*refusal);
			lease_ms_ = std::max(lease_ms_, order.deadline_ms);
			if (running_.contains(order.what))
				return answer(order_end::done);
			if (is_closed(order.what))
				return answer(order_end::superseded);
			if (order.deadline_ms < clock_ms())
				return answer(order_end::late);
			running_.emplace(order.what, authority.fencing_token);
			return answer(order_end::done);
		}
		order_result stop(const order_authority& authority, const task_run& what)
		{
			settle();
			if (const auto refusal = check(authority))
				return answer(*refusal);
			if (running_.contains(what))
				end(what, run_outcome::stopped);
			close(what);
			return answer(order_end::done);
		}
		listing_result list(const order_authority& authority, const listing_order& order)
		{
			settle();
			if (const auto refusal = check(authority))
				return {answer(*refusal), {}};
			lease_ms_ = std::max(lease_ms_, std::min(order.deadline_ms, clock_ms() + longest_lease.count()));
			std::erase_if(unseen_, [&](const listed_end& one) { return one.number <= order.ends_kept; });
			listing_result out{answer(order_end::done), {}};
			for (const auto& [what, token] : running_)
				out.listing.running.push_back({what, "", 10, 0});
			out.listing.ended = unseen_;
			return out;
		}
		/// Loses all knowledge of what was stopped or has ended and of tokens, which the pages do not allow.
		void forget()
		{
			closed_.clear();
			token_ = 0;
		}
		/// Carries out the starts that got no answer. Their time counts from now, as for late orders whose deadline
		/// does not protect anybody.
		void carry_out_late()
		{
			for (auto& [authority, order, asked_ms] : std::exchange(late_starts, {}))
			{
				order.deadline_ms += clock_ms() - asked_ms;
				(void)start(authority, order);
			}
		}

		struct late_start
		{
			order_authority authority;
			run_start order;
			std::int64_t asked_ms{};
		};

		worker_life life;
		bool starts_unanswered{}; ///< Starts wait for carry_out_late().
		bool stops_unanswered{};  ///< Stops are lost.
		std::vector<late_start> late_starts;
		int stops_lost{};
		static constexpr auto longest_lease = millis{6'000};

	private:
		order_result answer(order_end how) const
		{
			return {how, clock_ms()};
		}
		std::optional<order_end> check(const order_authority& authority)
		{
			if (authority.life != life)
				return order_end::other_life;
			if (authority.fencing_token < token_)
				return order_end::fenced;
			token_ = authority.fencing_token;
			return std::nullopt;
		}
		void close(const task_run& what)
		{
			auto& highest = closed_[what.task];
			highest = std::max(highest, what.run);
		}
		void end(task_run what, run_outcome how)
		{
			running_.erase(what);
			close(what);
			ended_[what] = how;
			unseen_.push_back({++ends_, what, how, ""});
		}
		void settle()
		{
			if (clock_ms() <= lease_ms_)
				return;
			while (!running_.empty())
				end(running_.begin()->first, run_outcome::lapsed);
		}

		instant began_{steady_now()};
		absl::flat_hash_map<task_run, std::int64_t> running_; ///< With the token that started each.
		absl::flat_hash_map<task_key, std::uint32_t> closed_; ///< The highest run that was stopped or has ended.
		absl::flat_hash_map<task_run, run_outcome> ended_;
		std::vector<listed_end> unseen_;
		std::int64_t token_{};
		std::int64_t lease_ms_{};
		std::int64_t ends_{};
	};

	class port_to_played final : public worker_port
	{
	public:
		port_to_played(boost::asio::io_context& io, played_worker& worker) : io_{io}, worker_{worker} {}

		boost::asio::awaitable<order_result> start(order_authority authority, run_start order,
												   instant deadline) override
		{
			if (!worker_.starts_unanswered)
				co_return worker_.start(authority, order);
			worker_.late_starts.push_back({authority, std::move(order), worker_.clock_ms()});
			co_await wait_in_vain(deadline);
			co_return order_result{order_end::unknown, 0};
		}
		boost::asio::awaitable<order_result> stop(order_authority authority, task_run what, instant deadline) override
		{
			if (!worker_.stops_unanswered)
				co_return worker_.stop(authority, what);
			++worker_.stops_lost;
			co_await wait_in_vain(deadline);
			co_return order_result{order_end::unknown, 0};
		}
		boost::asio::awaitable<listing_result> list(order_authority authority, listing_order order, instant) override
		{
			co_await pause_for(io_, millis{20});
			co_return worker_.list(authority, order);
		}
		boost::asio::awaitable<order_result> pace(order_authority, task_run, int, instant) override
		{
			co_return order_result{order_end::done, worker_.clock_ms()};
		}

	private:
		boost::asio::awaitable<void> wait_in_vain(instant deadline)
		{
			co_await pause_for(io_, std::chrono::duration_cast<millis>(deadline - steady_now()));
		}

		boost::asio::io_context& io_;
		played_worker& worker_;
	};

	/// One process beside the worker, on a loop of its own: what is not run any more is silent, as a machine that is
	/// gone.
	class played_agent
	{
	public:
		played_agent(played_worker& worker, const endpoint& where)
			: runs_{io_, [this, &worker](endpoint) { return std::make_unique<port_to_played>(io_, worker); },
					played_worker::longest_lease, pacing_policy{},
					[this]
					{
						if (links_)
							links_->report_soon();
					}}
		{
			links_ = std::make_unique<owner_links>(io_, runs_);
			REQUIRE(links_->listen(where).ok());
			worker_heartbeat heartbeat;
			heartbeat.life = worker.life;
			heartbeat.service = service_id{"tally"};
			heartbeat.capacity = {8'000, 16'000, 0};
			heartbeat.clock_ms = worker.clock_ms();
			runs_.worker_seen(std::move(heartbeat));
		}
		void run()
		{
			io_.poll();
		}
		[[nodiscard]] std::size_t open_orders() const noexcept
		{
			return runs_.open_orders();
		}

	private:
		boost::asio::io_context io_{1};
		std::unique_ptr<owner_links> links_;
		run_keeper runs_;
	};

	queue_policy some_queue()
	{
		return {queue_id{"checks"}, service_id{"tally"}, 0, 2, 1.5, millis{250}};
	}

	job_spec one_task()
	{
		job_spec spec;
		spec.payload = "work";
		spec.groups.resize(1);
		spec.groups[0].claim = {500, 256, 0};
		spec.groups[0].estimate = millis{100};
		return spec;
	}

	/// Tasks of which a worker has room for one.
	job_spec tasks_of_a_whole_worker(std::size_t count)
	{
		auto spec = one_task();
		spec.groups[0].count = static_cast<std::uint32_t>(count);
		spec.groups[0].claim.cpu_milli = 5'000;
		return spec;
	}

	/// A port that nobody has now.
	endpoint free_address()
	{
		boost::asio::io_context io{1};
		boost::asio::ip::tcp::acceptor picked{io, endpoint{boost::asio::ip::address_v4::loopback(), 0}};
		return picked.local_endpoint();
	}

	/// A store, an owner, an agent and its worker.
	struct scene
	{
		scene()
		{
			settings.member = member_id{"entry-1"};
			add_agent("agent-1", worker);
		}

		void add_agent(const std::string& name, played_worker& beside)
		{
			if (!addresses.contains(name))
				addresses[name] = free_address();
			agents[name] = std::make_unique<played_agent>(beside, addresses[name]);
			stored::agent row;
			row.address = to_string(addresses[name]);
			store.put(agent_partition, agents_table, name, encode_agent(row));
		}

		void begin_term()
		{
			owned_row owned;
			owned.row.epoch = ++epochs;
			owned.row.member = settings.member.str();
			store.put(job_partition, owner_table, owner_key, encode_ownership(owned.row));
			const auto now = steady_now();
			worked = false;
			boost::asio::co_spawn(
				io,
				[this, owned, now]() mutable -> boost::asio::awaitable<void>
				{
					row_range range{owner_table, job_partition, "", "", 0};
					const auto page = co_await store.read(std::move(range), now + longest_wait);
					owned.version = page->rows.front().version;
					owned.renewal_sent = now;
					owned.store_ms = page->store_ms;
					term = std::make_shared<job_term>(io, settings, store, metrics, owned, [](queue_depths) {});
					if ((co_await term->load()).ok())
						co_await term->work();
					worked = true;
				},
				boost::asio::detached);
		}

		void submit(const job_spec& spec = one_task())
		{
			store.put(submission_partition(job_id{some_job}), submissions_table, some_job,
					  encode_submission(some_queue(), spec));
		}

		void cancel()
		{
			store.put(submission_partition(job_id{some_job}), submissions_table, cancellation_key(job_id{some_job}),
					  "c");
		}

		template <typename Until>
		bool run_until(Until until)
		{
			const auto end = steady_now() + longest_wait;
			while (!until() && steady_now() < end)
			{
				io.run_one_for(millis{2});
				for (const auto& [name, agent] : agents)
					if (agent && !removed.contains(name))
						agent->run();
			}
			return until();
		}
		void run_for(millis time)
		{
			const auto end = steady_now() + time;
			(void)run_until([&] { return steady_now() >= end; });
		}

		/// The job's only task as the store keeps it; nothing once the job is forgotten.
		std::optional<job_task> stored_task()
		{
			const auto row = store.value(submission_partition(job_id{some_job}), submissions_table, some_job);
			if (row.empty())
				return std::nullopt;
			auto job = decode_submission(job_id{some_job}, row, steady_now());
			REQUIRE(job.ok());
			const auto progress = store.value(job_partition, progress_table, some_job);
			if (!progress.empty())
				REQUIRE(decode_progress(*job, progress, steady_now()).ok());
			return job->tasks[0];
		}
		[[nodiscard]] bool is_off_worker()
		{
			const auto task = stored_task();
			return !task || task->worker.empty();
		}

		/// A start that got no answer, of a job that is cancelled next.
		void leave_start_unanswered()
		{
			worker.starts_unanswered = true;
			worker.stops_unanswered = true;
			begin_term();
			run_for(millis{300}); // the worker has its first lease
			submit();
			REQUIRE(run_until([&] { return !worker.late_starts.empty(); }));
		}
		void begin_run()
		{
			begin_term();
			run_for(millis{300});
			submit();
			REQUIRE(run_until([&] { return worker.is_running(some_run); }));
		}

		const task_run some_run{{job_id{some_job}, 0, 0, 0}, 1};
		boost::asio::io_context io{1};
		memory_store store{io};
		played_worker worker{"life-1"};
		job_entry_settings settings;
		process_metrics metrics;
		std::shared_ptr<job_term> term;
		std::map<std::string, endpoint> addresses;
		std::map<std::string, std::unique_ptr<played_agent>> agents;
		std::set<std::string> removed; ///< Agents that do nothing any more; their links stay open and silent.
		std::int64_t epochs{};
		bool worked{};
	};
}

TEST_CASE("a start that is carried out after its job was cancelled is stopped, also if stops get no answer", "[jobs]")
{
	scene it;
	it.leave_start_unanswered();
	it.cancel();
	REQUIRE(it.run_until([&] { return it.worker.stops_lost > 2; }));
	it.worker.carry_out_late();
	REQUIRE(it.worker.is_running(it.some_run));
	it.run_for(millis{300});
	it.worker.stops_unanswered = false;
	REQUIRE(it.run_until([&] { return !it.worker.is_running(it.some_run); }));
	CHECK(it.worker.end_of(it.some_run) == run_outcome::stopped);
	CHECK(it.run_until([&] { return it.is_off_worker(); }));
}

TEST_CASE("a start that is carried out after its stop was answered never runs", "[jobs]")
{
	scene it;
	it.leave_start_unanswered();
	it.cancel();
	it.worker.stops_unanswered = false;
	REQUIRE(it.run_until([&] { return it.is_off_worker(); }));
	it.worker.carry_out_late();
	CHECK_FALSE(it.worker.is_running(it.some_run));
}

TEST_CASE("a late start of a cancelled job is stopped where the worker forgot the stop", "[jobs]")
{
	// Nothing but the listing tells of such a run, and to the owner it is one that is not placed there.
	scene it;
	SECTION("and the job is still known") {}
	SECTION("and the job is forgotten")
	{
		it.settings.status_kept = millis{1};
	}
	it.leave_start_unanswered();
	it.cancel();
	it.worker.stops_unanswered = false;
	REQUIRE(it.run_until([&] { return it.is_off_worker(); }));
	if (it.settings.status_kept == millis{1})
		REQUIRE(it.run_until([&] { return !it.stored_task(); }));
	it.worker.forget();
	it.worker.carry_out_late();
	REQUIRE(it.worker.is_running(it.some_run));
	REQUIRE(it.run_until([&] { return !it.worker.is_running(it.some_run); }));
	CHECK(it.worker.end_of(it.some_run) == run_outcome::stopped);
}

TEST_CASE("a late start that shows after its stop was answered is stopped, though the owner orders no other stop",
		  "[jobs]")
{
	// The worker answered the stop and forgot it, and the late start began while the agent still waited for the listing
	// after the stop. The owner had ordered its stop by then and never orders it again over the same link.
	scene it;
	it.leave_start_unanswered();
	it.agents["agent-1"].reset();
	it.cancel();
	it.worker.stops_unanswered = false;
	it.add_agent("agent-1", it.worker);
	REQUIRE(it.run_until([&] { return it.worker.is_closed(it.some_run); }));
	it.worker.forget();
	it.worker.carry_out_late();
	REQUIRE(it.worker.is_running(it.some_run));
	CHECK(it.run_until([&] { return !it.worker.is_running(it.some_run); }));
	CHECK(it.worker.end_of(it.some_run) == run_outcome::stopped);
}

TEST_CASE("a late start of a cancelled job is stopped by the agent's next process", "[jobs]")
{
	scene it;
	it.leave_start_unanswered();
	SECTION("that came before the job was cancelled")
	{
		it.worker.starts_unanswered = false;
		it.agents["agent-1"].reset();
		it.cancel();
		it.run_for(millis{300});
	}
	SECTION("that came after it, the stop being unanswered")
	{
		it.cancel();
		REQUIRE(it.run_until([&] { return it.worker.stops_lost > 2; }));
		it.agents["agent-1"].reset();
	}
	SECTION("that came after the stop had been sent to a process that did not read it any more")
	{
		it.removed.insert("agent-1");
		it.cancel();
		it.run_for(millis{600});
		it.agents["agent-1"].reset();
		it.removed.clear();
	}
	it.worker.carry_out_late();
	REQUIRE(it.worker.is_running(it.some_run));
	it.add_agent("agent-1", it.worker);
	it.worker.stops_unanswered = false;
	REQUIRE(it.run_until([&] { return !it.worker.is_running(it.some_run); }));
	CHECK(it.worker.end_of(it.some_run) == run_outcome::stopped);
	CHECK(it.run_until([&] { return it.is_off_worker(); }));
}

TEST_CASE("a late start of a cancelled job is stopped by the next owner", "[jobs]")
{
	scene it;
	it.leave_start_unanswered();
	SECTION("that reads the cancellation")
	{
		it.term->release();
		REQUIRE(it.run_until([&] { return it.worked; }));
		it.cancel();
	}
	SECTION("that follows one which had ordered the stop")
	{
		it.cancel();
		REQUIRE(it.run_until([&] { return it.worker.stops_lost > 2; }));
		it.term->release();
		REQUIRE(it.run_until([&] { return it.worked; }));
	}
	it.worker.carry_out_late();
	REQUIRE(it.worker.is_running(it.some_run));
	it.begin_term();
	it.worker.stops_unanswered = false;
	REQUIRE(it.run_until([&] { return !it.worker.is_running(it.some_run); }));
	CHECK(it.worker.end_of(it.some_run) == run_outcome::stopped);
	CHECK(it.run_until([&] { return it.is_off_worker(); }));
}

TEST_CASE("what an agent that is gone left running ends with its lease", "[jobs]")
{
	scene it;
	it.settings.contact = millis{1'000}; // leases of two seconds
	SECTION("before the job is cancelled")
	{
		it.begin_run();
		it.removed.insert("agent-1");
		it.cancel();
	}
	SECTION("after its stop was sent and got no answer")
	{
		it.worker.stops_unanswered = true;
		it.begin_run();
		it.cancel();
		REQUIRE(it.run_until([&] { return it.worker.stops_lost > 1; }));
		it.removed.insert("agent-1");
	}
	CHECK(it.worker.lease_left() <= 2 * it.settings.contact);
	REQUIRE(it.run_until([&] { return !it.worker.is_running(it.some_run); }));
	CHECK(it.worker.end_of(it.some_run) == run_outcome::lapsed);
	// The agent's row stays and nobody is ever reached there; the run is taken for over all the same.
	CHECK(it.run_until([&] { return it.is_off_worker(); }));
}

TEST_CASE("a late start of an agent that is gone ends with the little lease that it brings", "[jobs]")
{
	scene it;
	it.leave_start_unanswered();
	it.removed.insert("agent-1");
	it.cancel();
	it.run_for(millis{200});
	REQUIRE(it.run_until([&] { return it.worker.lease_left() <= millis{0}; }));
	it.worker.carry_out_late();
	REQUIRE(it.worker.is_running(it.some_run));
	CHECK(it.worker.lease_left() <= millis{1'500}); // the time within which a start may be carried out
	REQUIRE(it.run_until([&] { return !it.worker.is_running(it.some_run); }));
	CHECK(it.worker.end_of(it.some_run) == run_outcome::lapsed);
	CHECK(it.run_until([&] { return it.is_off_worker(); }));
}

TEST_CASE("other agents that find the workers of those that are gone stop what was cancelled", "[jobs]")
{
	// The links to agents that are gone stay open until their silence is noticed. Orders that go there are lost, and
	// the agents that have found the workers meanwhile keep the runs' leases up. Several workers, since which of two
	// links an owner takes first is up to its tables.
	scene it;
	std::deque<played_worker> others;
	for (const auto* number : {"2", "3", "4", "5", "6"})
		it.add_agent(std::string{"agent-"} + number, others.emplace_back(std::string{"life-"} + number));
	it.begin_term();
	it.run_for(millis{300});
	it.submit(tasks_of_a_whole_worker(others.size() + 1));
	const auto begun = [&]
	{
		return it.worker.runs() == 1 && std::ranges::all_of(others, [](auto& one) { return one.runs() == 1; });
	};
	const auto ended = [&]
	{
		return it.worker.runs() == 0 && std::ranges::all_of(others, [](auto& one) { return one.runs() == 0; });
	};
	const auto replace_agents = [&]
	{
		it.add_agent("agent-11", it.worker);
		for (auto& one : others)
			it.add_agent("next to " + one.life.str(), one);
	};
	REQUIRE(it.run_until(begun));
	for (const auto& [name, agent] : it.agents)
		it.removed.insert(name);
	SECTION("by a cancellation that comes later")
	{
		replace_agents();
		it.run_for(millis{300});
		it.cancel();
	}
	SECTION("by one that came before")
	{
		it.cancel();
		it.run_for(millis{300});
		replace_agents();
	}
	REQUIRE(it.run_until(ended));
}

TEST_CASE("a run that the owner does not know as placed is stopped", "[jobs]")
{
	scene it;
	it.begin_run();
	it.term->release();
	REQUIRE(it.run_until([&] { return it.worked; }));
	const auto unplaced = make_job(job_id{some_job}, some_queue(), one_task(), steady_now());
	it.store.put(job_partition, progress_table, some_job, encode_progress(unplaced));
	it.cancel();
	it.begin_term();
	REQUIRE(it.run_until([&] { return !it.worker.is_running(it.some_run); }));
	CHECK(it.worker.end_of(it.some_run) == run_outcome::stopped);
}
