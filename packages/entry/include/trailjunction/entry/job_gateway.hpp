// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The job API of an entry: submits and cancels jobs, and reads their status.
#pragma once

#include <trailjunction/jobs/admission.hpp>
#include <trailjunction/jobs/job_configuration.hpp>
#include <trailjunction/jobs/job_state.hpp>
#include <trailjunction/net/process_metrics.hpp>
#include <trailjunction/store/commit_lookup.hpp>
#include <trailjunction/store/row_limits.hpp>
#include <trailjunction/store/row_store.hpp>
#include <trailjunction/store/store_contact.hpp>

#include <absl/container/flat_hash_map.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace trailjunction
{
	/// \brief The outcome of a call of the job API.
	enum class job_call_outcome
	{
		done,
		absent,  ///< Certain: the job does not exist.
		refused, ///< Certain: nothing was done; retry_after says when to retry.
		invalid, ///< Certain: nothing was done, and no retry of the same call succeeds.
		unknown, ///< The call may have taken effect, or may take effect later.
	};

	/// \brief The result of submitting or cancelling a job.
	struct job_call_result
	{
		job_call_outcome outcome{job_call_outcome::unknown};
		millis retry_after{};
		std::string reason;
	};

	/// \brief The result of reading the status of a job.
	struct job_status_result
	{
		job_call_outcome outcome{job_call_outcome::refused};
		job_status status{job_status::queued}; ///< Valid only if the outcome is done.
		std::int64_t store_clock_ms{};         ///< The store's steady clock at the read, in ms; 0 if it did not answer.
	};

	/// \brief The number of jobs per queue that wait for their first task to start, as last published by the owner.
	struct queue_depths
	{
		absl::flat_hash_map<queue_id, std::int64_t> waiting;
		instant read_at{};
		room_forecast room; ///< The latest capacity forecast of the owner.
	};

	/// \brief Implements the calls of the job API on the row store; runs on one io_context.
	class job_gateway
	{
	public:
		/// \param limits The size limits of the store; a job that exceeds them is rejected.
		job_gateway(boost::asio::io_context& io, row_store& store, process_metrics& metrics, row_limits limits = {});

		/// \brief Submits a job.
		/// \details The outcome is done once the job is stored, also if it was stored before. A job that the capacity
		/// forecast shows to end too late for its caller is refused at once.
		[[nodiscard]] boost::asio::awaitable<job_call_result> submit(queue_policy queue, job_id id, job_spec spec,
																	 instant deadline);

		[[nodiscard]] boost::asio::awaitable<job_status_result> status(job_id id, instant deadline);

		/// \brief Cancels a job.
		/// \details The outcome is absent if no job is stored. This remains so: a submission that the store applies
		/// later fails, because the id is stored as cancelled.
		[[nodiscard]] boost::asio::awaitable<job_call_result> cancel(job_id id, instant deadline);

		/// \brief The number of jobs of a queue that wait for their first task; empty if the latest count is too old.
		[[nodiscard]] std::optional<std::int64_t> waiting(const queue_id& queue, instant now) const;

		/// \brief The configuration in effect; null until one is read.
		[[nodiscard]] std::shared_ptr<const job_configuration> configuration() const noexcept
		{
			return configuration_;
		}

		/// \brief Applies a configuration, unless the same or a newer version is in effect.
		void apply(job_configuration configuration);
		void record_depths(queue_depths depths);
		/// \brief Records whether the store answered a periodic call.
		void record_store_result(bool answered, instant now);

		/// \brief Whether this entry is ready for clients: a configuration is in effect, and the store answers.
		/// \details The load balancer reads this, since other entries may reach a store that this one cannot reach.
		[[nodiscard]] bool is_ready(instant now) const noexcept;

	private:
		/// Refuses a job that would end too late for its caller; returns nothing if the job is admitted.
		boost::asio::awaitable<std::optional<job_call_result>>
		check_admission(const queue_policy& queue, const job_id& id, const job_spec& spec, instant deadline);
		/// Whether the store has the submission of the job; false if it does not answer within a short timeout.
		boost::asio::awaitable<bool> is_stored(job_id id, instant deadline);
		/// The end of a transaction that is conditional on rows being absent.
		struct stored_change
		{
			job_call_result call; ///< The outcome is done if the transaction was applied or one of the rows exists.
			bool applied{};       ///< An earlier attempt may have been applied also if this is false.
			std::vector<stored_row> conflicts; ///< The rows of the conditions if it was not applied.
		};
		boost::asio::awaitable<stored_change> commit_with_retries(row_transaction change, job_id id, instant deadline);
		/// Rejects a call because of what it contains.
		job_call_result reject_invalid(const job_id& id, std::string reason);
		/// Refuses a submission of an id that was cancelled before.
		job_call_result refuse_cancelled(const job_id& id);
		/// Cancels a job that is stored.
		boost::asio::awaitable<job_call_result> cancel_stored(job_id id, instant deadline);
		/// Stores the id of a job that is not stored as cancelled.
		/// \param store_ms The store's clock, in ms.
		/// \returns Empty if the job has been stored meanwhile.
		boost::asio::awaitable<std::optional<job_call_result>> cancel_absent(job_id id, std::int64_t store_ms,
																			 instant deadline);
		/// Whether the store answers a read of the submission rows of the job.
		boost::asio::awaitable<bool> probe_store(job_id id, instant deadline);
		[[nodiscard]] bool is_in_doubt(const job_id& id, instant now) const;
		void mark_in_doubt(const job_id& id, instant now);

		void count_call(const char* call, job_call_outcome outcome, instant started_at);

		boost::asio::io_context& io_;
		row_store& store_;
		process_metrics& metrics_;
		row_limits limits_;
		std::shared_ptr<const job_configuration> configuration_;
		queue_depths depths_;
		admission_state admission_;
		store_contact store_contact_;
		commit_latency commit_latency_;
		bool store_suspect_{}; ///< The latest call to the store was refused or not answered.
		/// Jobs whose row may still be written by an earlier call, with the time that call ended. They must not be
		/// reported as refused.
		absl::flat_hash_map<job_id, instant> in_doubt_;
	};
}
