// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Converts runs of jobs to and from their wire messages.
#pragma once

#include <trailjunction/jobs/run_listing.hpp>

#include <wire_types.h>

namespace trailjunction
{
	[[nodiscard]] wire::task_run to_wire(const task_run& source);
	[[nodiscard]] task_run from_wire(const wire::task_run& source);

	/// \brief Sets the fields of a message that name a worker's incarnation.
	template <typename Message>
	void set_worker(Message& message, const worker_incarnation& worker)
	{
		message.worker = worker.id();
		if (worker.start_time())
			message.__set_worker_start_ms(static_cast<std::int64_t>(worker.start_time()->value));
	}
	/// \brief The incarnation that a message names; without a start time if its sender knew none.
	template <typename Message>
	[[nodiscard]] worker_incarnation worker_of(const Message& message)
	{
		if (!message.__isset.worker_start_ms)
			return worker_incarnation{message.worker};
		return worker_incarnation{message.worker,
								  worker_start_time{static_cast<std::uint64_t>(message.worker_start_ms)}};
	}

	[[nodiscard]] wire::job_run to_wire(const listed_run& run);
	[[nodiscard]] listed_run from_wire(const wire::job_run& run);

	[[nodiscard]] wire::job_end to_wire(const listed_end& end);
	[[nodiscard]] listed_end from_wire(const wire::job_end& end);

	[[nodiscard]] wire::job_refusal to_wire(const refused_run& refusal);
	[[nodiscard]] refused_run from_wire(const wire::job_refusal& refusal);

	/// \brief Converts an agent's report about a worker incarnation that has ended.
	/// \param now Time at which the message is created or received; times are sent as ages relative to it.
	[[nodiscard]] wire::job_lost_worker to_wire(const lost_worker& worker, instant now);
	[[nodiscard]] lost_worker from_wire(const wire::job_lost_worker& worker, instant now);

	/// \brief Wraps a message about jobs in an envelope.
	[[nodiscard]] wire::envelope to_envelope(wire::job_claim claim);
	[[nodiscard]] wire::envelope to_envelope(wire::job_start order);
	[[nodiscard]] wire::envelope to_envelope(wire::job_stop order);
	[[nodiscard]] wire::envelope to_envelope(wire::job_confirm answer);
	[[nodiscard]] wire::envelope to_envelope(wire::job_report report);
}
