// SPDX-License-Identifier: MIT
/// \file
/// \brief Cancellations of jobs whose submission the store applies later, or never.
#include "job_term_fixture.hpp"

#include <trailjunction/entry/job_gateway.hpp>

#include <optional>

using namespace trailjunction;
using namespace trailjunction::job_term_fixture;

namespace
{
	/// After this time the store applies a submission that it has not answered.
	constexpr auto late_by = millis{1'200};
	/// Longer than the owner needs to start a job that it has just read.
	constexpr auto start_time = millis{500};

	/// An owner with one agent, and an entry whose clients submit and cancel jobs.
	struct cancelling_client : scene
	{
		/// Submits a job; the store applies the submission late and does not answer.
		job_call_outcome submit_late(const std::string& id)
		{
			std::optional<job_call_result> result;
			store.faults.transaction_duration = millis{1};
			store.faults.answer_delay = late_by;
			store.faults.late_commits = true;
			boost::asio::co_spawn(
				io,
				[&]() -> boost::asio::awaitable<void>
				{
					auto queue = some_queue();
					auto spec = one_task();
					result = co_await gateway.submit(std::move(queue), job_id{id}, std::move(spec),
													 boottime_now() + millis{250});
				},
				boost::asio::detached);
			const auto is_submission = [](const row_transaction& change)
			{
				return !change.put.empty() && change.put.front().name.table == submissions_table;
			};
			REQUIRE(run_until(
				[&] { return !store.requested_commits.empty() && is_submission(store.requested_commits.back()); }));
			store.faults = {};
			REQUIRE(run_until([&] { return result.has_value(); }));
			return result->outcome;
		}

		job_call_outcome cancel(const std::string& id, millis timeout = millis{2'000})
		{
			std::optional<job_call_result> result;
			boost::asio::co_spawn(
				io,
				[&]() -> boost::asio::awaitable<void>
				{ result = co_await gateway.cancel(job_id{id}, boottime_now() + timeout); },
				boost::asio::detached);
			REQUIRE(run_until([&] { return result.has_value(); }));
			return result->outcome;
		}

		using scene::submit;

		job_call_outcome submit(const job_id& id)
		{
			std::optional<job_call_result> result;
			boost::asio::co_spawn(
				io,
				[&]() -> boost::asio::awaitable<void>
				{
					auto queue = some_queue();
					auto spec = one_task();
					result =
						co_await gateway.submit(std::move(queue), id, std::move(spec), boottime_now() + millis{2'000});
				},
				boost::asio::detached);
			REQUIRE(run_until([&] { return result.has_value(); }));
			return result->outcome;
		}

		job_status_result status(const std::string& id)
		{
			std::optional<job_status_result> result;
			boost::asio::co_spawn(
				io,
				[&]() -> boost::asio::awaitable<void>
				{ result = co_await gateway.status(job_id{id}, boottime_now() + millis{2'000}); },
				boost::asio::detached);
			REQUIRE(run_until([&] { return result.has_value(); }));
			return *result;
		}

		[[nodiscard]] bool has_submission(const std::string& id) const
		{
			return !store.value(submission_partition(job_id{id}), submissions_table, id).empty();
		}

		[[nodiscard]] std::string cancelled_id(const std::string& id) const
		{
			return store.value(submission_partition(job_id{id}), cancelled_ids_table, id);
		}

		void put_cancelled_id(const std::string& id, millis expires_in)
		{
			const auto expires_ms = to_millis(boottime_now()) + expires_in.count(); // the store's clock
			store.put(submission_partition(job_id{id}), cancelled_ids_table, id, encode_cancelled_id(expires_ms));
		}

		void run_for(millis time)
		{
			const auto end = boottime_now() + time;
			while (boottime_now() < end)
				io.run_one_for(millis{10});
		}

		job_gateway gateway{io, store, metrics};
	};
}

TEST_CASE("a submission that the store applies after the cancellation of its job was answered fails", "[jobs]")
{
	// The cancellation found no job, was answered with "no such job" and left nothing behind. The store then applied
	// the submission, and all tasks of the job started.
	cancelling_client client;
	client.begin_term();
	REQUIRE(client.run_until([&] { return !client.agent.received_confirms.empty(); }));
	CHECK(client.submit_late(first_job) == job_call_outcome::unknown);
	CHECK(client.cancel(first_job) == job_call_outcome::absent);
	CHECK(client.status(first_job).outcome == job_call_outcome::absent);
	client.run_for(late_by + start_time);
	CHECK(client.agent.received_starts.empty());
	CHECK(client.status(first_job).outcome == job_call_outcome::absent);
}

TEST_CASE("a job that another entry stores while it is being cancelled is cancelled", "[jobs]")
{
	cancelling_client client;
	client.begin_term();
	REQUIRE(client.run_until([&] { return !client.agent.received_confirms.empty(); }));
	client.store.faults.held_table = cancelled_ids_table;
	std::optional<job_call_outcome> outcome;
	boost::asio::co_spawn(
		client.io,
		[&]() -> boost::asio::awaitable<void>
		{
			const auto result = co_await client.gateway.cancel(job_id{first_job}, boottime_now() + test_timeout);
			outcome = result.outcome;
		},
		boost::asio::detached);
	REQUIRE(client.run_until([&] { return client.store.held_commits > 0; })); // the job was read as absent
	client.submit(first_job, one_task());
	client.store.faults = {};
	REQUIRE(client.run_until([&] { return outcome.has_value(); }));
	CHECK(*outcome == job_call_outcome::done);
	CHECK(client.status(first_job).status == job_status::cancelled);
}

TEST_CASE("an id that was cancelled without a job is refused and prolonged by another cancellation", "[jobs]")
{
	cancelling_client client;
	constexpr auto nearly_expired = millis{3'000};
	client.put_cancelled_id(first_job, nearly_expired);
	CHECK(client.submit(job_id{first_job}) == job_call_outcome::refused);
	const auto before = client.cancelled_id(first_job);
	CHECK(client.cancel(first_job) == job_call_outcome::absent);
	const auto after = client.cancelled_id(first_job);
	CHECK(*decode_cancelled_id(after) > *decode_cancelled_id(before) + nearly_expired.count());
	CHECK(client.cancel(first_job) == job_call_outcome::absent);
	CHECK(client.cancelled_id(first_job) == after);
}

TEST_CASE("a cancellation of an unknown job that the store does not keep is not acknowledged", "[jobs]")
{
	// Without the row, a submission that is still in transit would make a job that runs.
	cancelling_client client;
	client.store.faults.hold_commits = true;
	CHECK(client.cancel(first_job, millis{400}) == job_call_outcome::unknown);
	client.store.faults = {};
	client.store.faults.refuse_all = true;
	CHECK(client.cancel(first_job, millis{400}) != job_call_outcome::absent);
}

TEST_CASE("owners remove expired ids that were cancelled without a job", "[jobs]")
{
	// Nobody else removes them: the table would grow with each cancellation of an unknown job.
	constexpr int expired_ids = 900; // more than one transaction per partition removes
	constexpr const char* lasting_job = "00000000000000b2";
	constexpr const char* unreadable_job = "00000000000000b3";
	cancelling_client client;
	for (int i = 0; i < expired_ids; ++i)
		client.put_cancelled_id(absl::StrFormat("%016x", 0x1000 + i), millis{-1});
	client.put_cancelled_id(lasting_job, millis{600'000});
	client.store.put(submission_partition(job_id{unreadable_job}), cancelled_ids_table, unreadable_job, "soon");
	client.begin_term();
	const auto all_removed = [&]
	{
		for (int i = 0; i < expired_ids; ++i)
			if (!client.cancelled_id(absl::StrFormat("%016x", 0x1000 + i)).empty())
				return false;
		return true;
	};
	CHECK(client.run_until(all_removed));
	CHECK(!client.cancelled_id(lasting_job).empty());
	CHECK(client.cancelled_id(unreadable_job) == "soon");
}
