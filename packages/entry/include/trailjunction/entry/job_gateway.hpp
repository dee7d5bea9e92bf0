// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Takes jobs, cancels them, and tells how they stand.
#pragma once

#include <trailjunction/jobs/admission.hpp>
#include <trailjunction/jobs/job_configuration.hpp>
#include <trailjunction/jobs/job_state.hpp>
#include <trailjunction/net/process_metrics.hpp>
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
	/// \brief How a call about a job ended.
	enum class job_call_end
	{
		done,
		absent,  ///< Proved: there is no such job.
		refused, ///< Proved: nothing was done; retry_after says when to come back.
		unknown, ///< It may have been done, or may be done later.
	};

	/// \brief What came of handing a job in, or of cancelling it.
	struct job_call_result
	{
		job_call_end how{job_call_end::unknown};
		millis retry_after{};
		std::string reason;
	};

	/// \brief What came of asking for a job.
	struct job_status_result
	{
		job_call_end how{job_call_end::refused};
		job_status status{job_status::queued}; ///< Only where how is done.
	};

	/// \brief How many jobs wait for their first task, by queue, as the owner last said.
	struct queue_depths
	{
		absl::flat_hash_map<queue_id, std::int64_t> waiting;
		instant read_at{};
		room_forecast room; ///< As the owner last made it.
	};

	/// \brief The calls that a client may make; lives on one io_context.
	class job_gateway
	{
	public:
		job_gateway(boost::asio::io_context& io, row_store& store, process_metrics& metrics);

		/// \brief Accepts a job: done once the store keeps it, also where it is kept already. Refused at once where the
		/// forecast of room says that it can't be of use to its caller.
		[[nodiscard]] boost::asio::awaitable<job_call_result> submit(queue_policy queue, job_id id, job_spec spec,
																	 instant deadline);

		[[nodiscard]] boost::asio::awaitable<job_status_result> status(job_id id, instant deadline);

		[[nodiscard]] boost::asio::awaitable<job_call_result> cancel(job_id id, instant deadline);

		/// \brief Jobs of a queue that wait for their first task; nothing where that is not known well enough now.
		[[nodiscard]] std::optional<std::int64_t> waiting(const queue_id& queue, instant now) const;

		/// \brief The configuration in force; nothing while none is known.
		[[nodiscard]] std::shared_ptr<const job_configuration> configuration() const noexcept
		{
			return configuration_;
		}

		/// \brief Puts a configuration in force, unless a newer one is.
		void apply(job_configuration configuration);
		void note_depths(queue_depths depths);
		/// \brief Takes in whether the store answered a call that is made all the time.
		void note_store(bool answered, instant now);

		/// \brief Whether clients should come here: a configuration is known, and the store answers this entry.
		/// \details Other entries may reach a store that this one has lost, so the balancer is told.
		[[nodiscard]] bool is_ready(instant now) const noexcept;

	private:
		/// Refuses a job that can't be of use to its caller any more; nothing: it is to be taken.
		boost::asio::awaitable<std::optional<job_call_result>>
		refuse_at_door(const queue_policy& queue, const job_id& id, const job_spec& spec, instant deadline);
		/// Whether the store has the job's submission, as far as it says so promptly.
		boost::asio::awaitable<bool> is_kept(job_id id, instant deadline);
		boost::asio::awaitable<job_call_result> commit_until(row_change change, job_id id, instant deadline);
		/// Whether the store answers a read of the job's rows.
		boost::asio::awaitable<bool> answers(job_id id, instant deadline);
		[[nodiscard]] bool is_in_doubt(const job_id& id, instant now) const;
		void note_doubt(const job_id& id, instant now);

		void count(const char* call, job_call_end how, instant began);

		boost::asio::io_context& io_;
		row_store& store_;
		process_metrics& metrics_;
		std::shared_ptr<const job_configuration> configuration_;
		queue_depths depths_;
		admission_state admission_;
		store_contact contact_;
		bool suspect_{}; ///< The latest call to the store was refused or got no answer.
		/// Jobs whose row may still be written by an earlier call, by when that was told: they must not be called
		/// refused.
		absl::flat_hash_map<job_id, instant> in_doubt_;
	};
}
