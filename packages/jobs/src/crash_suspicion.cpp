// SPDX-License-Identifier: MIT
#include <trailjunction/jobs/crash_suspicion.hpp>

#include <algorithm>

namespace trailjunction
{
	std::string_view to_string(suspicion level) noexcept
	{
		switch (level)
		{
		case suspicion::none:
			return "like any";
		case suspicion::suspected:
			return "apart";
		case suspicion::likely:
			return "alone";
		}
		return "unnamed";
	}

	namespace
	{
		std::size_t count_crashes_of(const crash_record& record, const worker_incarnation& worker) noexcept
		{
			const auto is_same_worker = [&](const worker_incarnation& other)
			{
				return other.id() == worker.id();
			};
			return static_cast<std::size_t>(
				std::count_if(record.workers.begin(), record.workers.end(), is_same_worker));
		}

		/// Number of different workers that crashed, whatever the number of their incarnations.
		std::size_t count_crashed_workers(const crash_record& record) noexcept
		{
			std::size_t out = 0;
			for (auto worker = record.workers.begin(); worker != record.workers.end(); ++worker)
				out += std::none_of(record.workers.begin(), worker,
									[&](const worker_incarnation& earlier) { return earlier.id() == worker->id(); })
						   ? 1
						   : 0;
			return out;
		}

		/// Number of consecutive crashes of workers after which a task is given up.
		std::size_t crash_limit(const crash_record& record, const crash_policy& policy) noexcept
		{
			if (!fits_one_cause(record, policy))
				return policy.max_colocated_crashes;
			if (record.max_age <= policy.prompt_age)
				return policy.max_prompt_crashes;
			const bool may_be_chance =
				!record.correlated.empty() || count_crashed_workers(record) < policy.min_crashed_workers;
			return may_be_chance ? policy.max_colocated_crashes : policy.max_crashes;
		}

		/// Whether a run that reached \p survived shows that the task does not crash its workers at the age \p age.
		bool contradicts(millis survived, millis age, const crash_policy& policy) noexcept
		{
			const auto latest =
				policy.age_factor * static_cast<double>(age.count()) + static_cast<double>(policy.age_margin.count());
			return static_cast<double>(survived.count()) > latest;
		}

		/// Number of crashes that a cause which takes at least \p earliest, and occurs at that age once, can explain.
		std::size_t count_from(const crash_record& record, millis earliest, const crash_policy& policy) noexcept
		{
			const auto fits = [&](const crash_age& age)
			{
				return age.upper_bound.value_or(millis::max()) >= earliest &&
					   !contradicts(age.lower_bound, earliest, policy);
			};
			return static_cast<std::size_t>(std::count_if(record.ages.begin(), record.ages.end(), fits));
		}
	}

	bool has_outlived(const crash_record& record, millis age, const crash_policy& policy) noexcept
	{
		return contradicts(record.longest_survived, age, policy);
	}

	std::size_t count_consistent(const crash_record& record, const crash_policy& policy) noexcept
	{
		// The run with the lowest upper bound in a consistent set decides which others fit.
		std::size_t unknown = 0;
		std::size_t out = 0;
		for (const auto& age : record.ages)
			if (age.upper_bound)
				out = std::max(out, count_from(record, *age.upper_bound, policy));
			else
				++unknown;
		return std::max(out, unknown);
	}

	bool should_avoid_worker(const crash_record& record, const worker_incarnation& worker,
							 const crash_policy& policy) noexcept
	{
		return count_crashes_of(record, worker) >= policy.min_crashes_to_avoid_worker;
	}

	bool should_avoid_any_worker(const crash_record& record, const crash_policy& policy) noexcept
	{
		return std::any_of(record.workers.begin(), record.workers.end(),
						   [&](const worker_incarnation& worker)
						   { return should_avoid_worker(record, worker, policy); });
	}

	bool fits_one_cause(const crash_record& record, const crash_policy& policy) noexcept
	{
		return !record.earliest_crash || !has_outlived(record, *record.earliest_crash, policy);
	}

	void add_crash_age(crash_record& record, const crash_age& age) noexcept
	{
		record.longest_survived = std::max(record.longest_survived, age.lower_bound);
		if (age.upper_bound)
			record.earliest_crash = std::min(record.earliest_crash.value_or(*age.upper_bound), *age.upper_bound);
	}

	suspicion suspicion_of(const crash_record& record, const crash_policy& policy) noexcept
	{
		if (count_consistent(record, policy) + 1 >= crash_limit(record, policy))
			return suspicion::likely;
		if (record.blame < policy.suspected_threshold)
			return suspicion::none;
		return record.blame < policy.likely_threshold ? suspicion::suspected : suspicion::likely;
	}

	double crash_weight(millis age, const crash_policy& policy) noexcept
	{
		if (age <= policy.prompt_age)
			return 1.0;
		const auto share = static_cast<double>(policy.prompt_age.count()) / static_cast<double>(age.count());
		return share * share;
	}

	std::optional<millis> age_at_crash(instant ordered, const lost_worker& worker, const crash_policy& policy) noexcept
	{
		if (!worker.last_response || ordered == instant{})
			return millis{0};
		if (ordered > *worker.last_response + policy.max_response_gap)
			return std::nullopt;
		const auto age = std::max(millis{0}, std::chrono::duration_cast<millis>(*worker.last_response - ordered));
		return age > policy.max_suspect_age ? std::nullopt : std::optional{age};
	}

	void add_crash(crash_record& record, const worker_incarnation& worker, millis age, const crash_age& bounds,
				   double blame)
	{
		if (std::find(record.workers.begin(), record.workers.end(), worker) != record.workers.end())
			return;
		record.workers.push_back(worker);
		record.ages.push_back(bounds);
		if (record.workers.size() > max_recorded_crashes)
		{
			std::erase(record.correlated, record.workers.front());
			record.workers.erase(record.workers.begin());
			record.ages.erase(record.ages.begin());
		}
		record.max_age = std::max(record.max_age, age);
		record.blame += blame;
	}

	bool remove_crash(crash_record& record, const worker_incarnation& worker)
	{
		const auto before = record.workers.size();
		const auto found = std::find(record.workers.begin(), record.workers.end(), worker);
		if (found == record.workers.end())
			return false;
		record.ages.erase(record.ages.begin() + (found - record.workers.begin()));
		record.workers.erase(found);
		std::erase(record.correlated, worker);
		record.blame *= static_cast<double>(record.workers.size()) / static_cast<double>(before);
		if (record.workers.empty())
			record = {};
		return true;
	}

	bool discount_crash(crash_record& record, const worker_incarnation& worker)
	{
		const crash_age bounds{record.longest_survived, record.earliest_crash};
		const bool counted = remove_crash(record, worker);
		add_crash_age(record, bounds);
		return counted;
	}

	void mark_correlated(crash_record& record, const worker_incarnation& worker)
	{
		const auto contains_worker = [&](const std::vector<worker_incarnation>& workers)
		{
			return std::find(workers.begin(), workers.end(), worker) != workers.end();
		};
		if (contains_worker(record.workers) && !contains_worker(record.correlated))
			record.correlated.push_back(worker);
	}

	bool is_cleared_by(const crash_record& record, millis running, const crash_policy& policy) noexcept
	{
		const auto outlived = std::min(policy.clear_factor * record.max_age, record.max_age + policy.clear_margin);
		const auto needed = std::max(policy.clear_after, outlived);
		return running >= std::min(needed, policy.max_suspect_age);
	}

	void clear_outlived_crashes(crash_record& record, const crash_age& lost, const crash_policy& policy)
	{
		if (record.workers.empty() || !is_cleared_by(record, lost.lower_bound, policy))
			return;
		const auto longest_survived = record.longest_survived;
		record = {};
		record.longest_survived = longest_survived;
	}

	bool is_given_up(const crash_record& record, bool alone, const crash_policy& policy) noexcept
	{
		return count_consistent(record, policy) >= (alone ? crash_limit(record, policy) : policy.max_colocated_crashes);
	}
}
