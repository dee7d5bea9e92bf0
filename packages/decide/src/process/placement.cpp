// SPDX-License-Identifier: MIT
#include <trailjunction/decide/process/placement.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <bit>
#include <cmath>

namespace trailjunction
{
	namespace
	{
		constexpr std::size_t max_sampled_candidates = 24;
		/// Scale of the logistic distribution of ln(p99) around its expectation.
		constexpr double log_latency_scale = 0.12;
		constexpr std::size_t max_runners_up = 3;
		constexpr std::array<std::string_view, 7> refusal_names{
			"none", "unreachable", "leaving", "quarantined", "other data_centre", "failed there", "no room"};

		double share(std::int64_t part, std::int64_t whole)
		{
			return whole <= 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
		}

		/// The probability that a service misses its target, given ln(expected latency / target).
		double miss_probability(double log_ratio)
		{
			return 1 / (1 + std::exp(-log_ratio / log_latency_scale));
		}

		double harm_of(const worker_view& worker, const task_spec& task, const interference_model& learned)
		{
			// A batch task slows down the worker's service; a replica is slowed down by the worker's batch tasks.
			if (!task.replica && worker.service.empty())
				return 0;
			if (!task.replica)
			{
				// The cost is the increase in the probability of a missed target, so a worker far below its target or
				// already far above it adds little cost.
				const double before = slowdown_now(worker, learned);
				const double after = before + expected_slowdown(learned, worker.service, task.kind);
				return miss_probability(after - worker.headroom) - miss_probability(before - worker.headroom);
			}
			double sum = 0;
			const service_id service{task.kind.str()};
			for (const auto& other : worker.kinds)
				if (other.kind != task.kind)
					sum += other.count * expected_slowdown(learned, service, other.kind);
			return sum;
		}

		/// The larger used share of processor time and memory after the placement, so that the rest stays usable in
		/// both dimensions.
		double fullness(const worker_view& worker, const resources& claim)
		{
			const auto left = worker.available() - claim;
			return 1 - std::min(share(left.cpu_milli, worker.capacity.cpu_milli),
								share(left.memory_mib, worker.capacity.memory_mib));
		}

		double overuse_of(const worker_view& worker)
		{
			const auto over = worker.used - worker.claimed - worker.blocked;
			return std::max({0.0, share(over.cpu_milli, worker.capacity.cpu_milli),
							 share(over.memory_mib, worker.capacity.memory_mib)});
		}

		int replicas_of(const worker_view& worker, const kind_id& kind)
		{
			for (const auto& other : worker.kinds)
				if (other.kind == kind)
					return other.count;
			return 0;
		}

		void score_if_allowed(placement_decision& decision, std::vector<scored_worker>& scored,
							  const worker_view& worker, const task_spec& task, std::span<const worker_id> failed_on,
							  const placement_weights& weights, const interference_model& learned, instant now)
		{
			const auto reason = check_worker(worker, task, failed_on, now);
			++decision.refused[static_cast<std::size_t>(reason)];
			if (reason == placement_refusal::none)
				scored.push_back({worker.worker, score_worker(worker, task, weights, learned)});
		}
	}

	std::string_view to_string(placement_refusal reason) noexcept
	{
		return refusal_names[static_cast<std::size_t>(reason)];
	}

	placement_refusal check_worker(const worker_view& worker, const task_spec& task,
								   std::span<const worker_id> failed_on, instant now) noexcept
	{
		if (!worker.reachable)
			return placement_refusal::unreachable;
		if (worker.leaving)
			return placement_refusal::leaving;
		if (worker.quarantined_until > now)
			return placement_refusal::quarantined;
		if (!task.data_centre.empty() && worker.data_centre != task.data_centre)
			return placement_refusal::other_data_centre;
		if (std::find(failed_on.begin(), failed_on.end(), worker.worker) != failed_on.end())
			return placement_refusal::failed_before;
		return task.claim.fits_in(worker.available()) ? placement_refusal::none : placement_refusal::no_capacity;
	}

	double slowdown_now(const worker_view& worker, const interference_model& learned)
	{
		double sum = 0;
		for (const auto& other : worker.kinds)
			if (other.count > 0 && other.kind.str() != worker.service.str())
				sum += other.count * expected_slowdown(learned, worker.service, other.kind);
		return sum;
	}

	score_terms score_worker(const worker_view& worker, const task_spec& task, const placement_weights& weights,
							 const interference_model& learned)
	{
		score_terms terms;
		terms.harm = weights.harm * harm_of(worker, task, learned);
		terms.packing = weights.packing * (1 - fullness(worker, task.claim));
		terms.overuse = weights.overuse * overuse_of(worker);
		terms.spread = task.replica ? weights.spread * replicas_of(worker, task.kind) : 0;
		terms.failures = weights.failures * worker.failure_score;
		return terms;
	}

	std::size_t fleet::size_class_of(const resources& space) noexcept
	{
		const auto free = static_cast<std::uint64_t>(std::max<std::int64_t>(space.cpu_milli, 0));
		return std::min<std::size_t>(static_cast<std::size_t>(std::bit_width(free)), classes - 1);
	}

	void fleet::add_to_class(std::uint32_t index)
	{
		auto& entry = index_entries_[index];
		entry.size_class = size_class_of(workers_[index].available());
		auto& list = by_size_class_[entry.size_class];
		entry.position = static_cast<std::uint32_t>(list.size());
		list.push_back(index);
	}

	void fleet::remove_from_class(std::uint32_t index)
	{
		const auto entry = index_entries_[index];
		auto& list = by_size_class_[entry.size_class];
		list[entry.position] = list.back();
		index_entries_[list[entry.position]].position = entry.position;
		list.pop_back();
	}

	void fleet::update(worker_view worker)
	{
		const auto found = index_by_worker_.find(worker.worker);
		if (found != index_by_worker_.end())
		{
			remove_from_class(found->second);
			workers_[found->second] = std::move(worker);
			add_to_class(found->second);
			return;
		}
		const auto index = static_cast<std::uint32_t>(workers_.size());
		index_by_worker_[worker.worker] = index;
		workers_.push_back(std::move(worker));
		index_entries_.emplace_back();
		add_to_class(index);
	}

	void fleet::remove(const worker_id& worker)
	{
		const auto found = index_by_worker_.find(worker);
		if (found == index_by_worker_.end())
			return;
		const auto index = found->second;
		const auto last = static_cast<std::uint32_t>(workers_.size() - 1);
		remove_from_class(index);
		index_by_worker_.erase(found);
		if (index != last)
		{
			remove_from_class(last);
			workers_[index] = std::move(workers_[last]);
			index_by_worker_[workers_[index].worker] = index;
			add_to_class(index);
		}
		workers_.pop_back();
		index_entries_.pop_back();
	}

	const worker_view* fleet::find(const worker_id& worker) const noexcept
	{
		const auto found = index_by_worker_.find(worker);
		return found == index_by_worker_.end() ? nullptr : &workers_[found->second];
	}

	void fleet::claim(const worker_id& worker, const task_spec& task, bool starts)
	{
		const auto found = index_by_worker_.find(worker);
		if (found == index_by_worker_.end())
			return;
		remove_from_class(found->second);
		auto& view = workers_[found->second];
		if (starts)
			view.claimed += task.claim;
		else
			view.claimed -= task.claim;
		const auto kind = std::find_if(view.kinds.begin(), view.kinds.end(),
									   [&](const kind_count& other) { return other.kind == task.kind; });
		if (kind != view.kinds.end())
			kind->count += starts ? 1 : -1;
		else if (starts)
			view.kinds.push_back({task.kind, 1});
		add_to_class(found->second);
	}

	std::vector<std::uint32_t> fleet::candidates(const resources& claim, std::size_t at_most,
												 random_engine& random) const
	{
		std::vector<std::uint32_t> chosen;
		const auto min_class = size_class_of(claim);
		// Each size class gets an equal part of the sample, so that both full and empty workers are considered.
		std::size_t classes_left = 0;
		for (auto i = min_class; i < classes; ++i)
			classes_left += by_size_class_[i].empty() ? 0 : 1;
		for (auto i = min_class; i < classes && classes_left > 0; ++i)
		{
			const auto& list = by_size_class_[i];
			if (list.empty())
				continue;
			const auto take = std::min(list.size(), (at_most - chosen.size()) / classes_left);
			--classes_left;
			std::uniform_int_distribution<std::size_t> pick{0, list.size() - 1};
			const auto first = pick(random);
			const auto stride = list.size() / std::max<std::size_t>(take, 1);
			for (std::size_t n = 0; n < take; ++n)
				chosen.push_back(list[(first + n * stride) % list.size()]);
		}
		return chosen;
	}

	placement_decision place(const fleet& workers, const task_spec& task, std::span<const worker_id> failed_on,
							 const placement_weights& weights, const interference_model& learned, instant now,
							 random_engine& random)
	{
		placement_decision decision;
		std::vector<scored_worker> scored;
		const auto all = workers.workers();
		if (all.size() > max_sampled_candidates)
			for (const auto index : workers.candidates(task.claim, max_sampled_candidates, random))
				score_if_allowed(decision, scored, all[index], task, failed_on, weights, learned, now);
		if (scored.empty())
		{
			decision.refused = {};
			decision.exhaustive = true;
			for (const auto& worker : all)
				score_if_allowed(decision, scored, worker, task, failed_on, weights, learned, now);
		}
		const auto ranked = std::min(scored.size(), max_runners_up + 1);
		std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(ranked), scored.end(),
						  [](const auto& left, const auto& right) { return left.terms.sum() < right.terms.sum(); });
		if (ranked > 0)
			decision.chosen = scored.front();
		for (std::size_t i = 1; i < ranked; ++i)
			decision.runners_up.push_back(scored[i]);
		return decision;
	}

	std::string explain(const placement_decision& decision)
	{
		std::string text;
		const auto add = [&](std::string_view label, const scored_worker& candidate)
		{
			absl::StrAppend(
				&text, text.empty() ? "" : "; ", std::string{label}, " ", candidate.worker.str(),
				absl::StrFormat(" cost %.3f (harm %.3f, packing %.3f, overuse %.3f, spread %.3f, failures %.3f)",
								candidate.terms.sum(), candidate.terms.harm, candidate.terms.packing,
								candidate.terms.overuse, candidate.terms.spread, candidate.terms.failures));
		};
		if (decision.chosen)
			add("chosen", *decision.chosen);
		for (const auto& other : decision.runners_up)
			add("before", other);
		for (std::size_t i = 1; i < decision.refused.size(); ++i)
			if (decision.refused[i] > 0)
				absl::StrAppend(&text, text.empty() ? "" : "; ", decision.refused[i],
								" refused: ", std::string{refusal_names[i]});
		return text;
	}
}
