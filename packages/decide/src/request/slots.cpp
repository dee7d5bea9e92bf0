// SPDX-License-Identifier: MIT
#include <trailjunction/decide/request/slots.hpp>

#include <algorithm>

namespace trailjunction
{
	namespace
	{
		constexpr double service_time_smoothing = 0.1;

		micros mean_service(const slot_table& table)
		{
			return micros{static_cast<std::int64_t>(table.service_us)};
		}

		/// Expected time until a request with \p ahead others in front of it gets a slot.
		micros expected_wait(const slot_table& table, std::int64_t ahead)
		{
			const auto slots = std::max<std::int64_t>(table.limits.slots, 1);
			return micros{static_cast<std::int64_t>(table.service_us * static_cast<double>(ahead + 1) /
													static_cast<double>(slots))};
		}

		bool erase_from(std::deque<queued_request>& queue, std::uint64_t key)
		{
			const auto found =
				std::find_if(queue.begin(), queue.end(), [key](const auto& request) { return request.key == key; });
			if (found == queue.end())
				return false;
			queue.erase(found);
			return true;
		}

		/// Starts the first request whose deadline has not passed. \returns Whether there was one.
		bool start_next(slot_table& table, std::deque<queued_request>& queue, instant now, dequeue_result& dequeued)
		{
			while (!queue.empty())
			{
				const auto request = queue.front();
				queue.pop_front();
				if (now >= request.deadline)
				{
					dequeued.expired.push_back(request.key);
					continue;
				}
				dequeued.start.push_back(request.key);
				++table.running;
				return true;
			}
			return false;
		}

		void drop_expired(std::deque<queued_request>& queue, instant now, dequeue_result& dequeued)
		{
			std::erase_if(queue,
						  [&](const queued_request& request)
						  {
							  const bool late = now >= request.deadline;
							  if (late)
								  dequeued.expired.push_back(request.key);
							  return late;
						  });
		}
	}

	std::int64_t queue_length(const slot_table& table) noexcept
	{
		return static_cast<std::int64_t>(table.urgent.size() + table.normal.size());
	}

	slot_decision admit(slot_table& table, const queued_request& request, instant now)
	{
		if (table.leaving)
			return {admission::refused, "the worker is leaving", millis{}};
		if (table.running < table.limits.slots && queue_length(table) == 0)
		{
			if (now >= request.deadline)
				return {admission::refused, "the deadline has passed", millis{}};
			++table.running;
			return {admission::run, "", millis{}};
		}
		const auto ahead = request.urgent ? static_cast<std::int64_t>(table.urgent.size()) : queue_length(table);
		const auto wait = expected_wait(table, ahead);
		const auto retry_after =
			std::chrono::duration_cast<millis>(expected_wait(table, queue_length(table))) + millis{1};
		if (queue_length(table) >= table.limits.queue)
			return {admission::refused, "the queue is full", retry_after};
		if (now + wait + mean_service(table) > request.deadline)
			return {admission::refused, "the deadline cannot be met", retry_after};
		(request.urgent ? table.urgent : table.normal).push_back(request);
		return {admission::queued, "", millis{}};
	}

	void release_slot(slot_table& table, micros held) noexcept
	{
		--table.running;
		table.service_us += service_time_smoothing * (static_cast<double>(held.count()) - table.service_us);
	}

	dequeue_result dequeue(slot_table& table, instant now)
	{
		dequeue_result dequeued;
		drop_expired(table.urgent, now, dequeued);
		drop_expired(table.normal, now, dequeued);
		while (table.running < table.limits.slots)
			if (!start_next(table, table.urgent, now, dequeued) && !start_next(table, table.normal, now, dequeued))
				break;
		return dequeued;
	}

	bool remove_queued(slot_table& table, std::uint64_t key)
	{
		return erase_from(table.urgent, key) || erase_from(table.normal, key);
	}
}
