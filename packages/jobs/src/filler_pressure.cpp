// SPDX-License-Identifier: MIT
#include <trailjunction/jobs/filler_pressure.hpp>

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace trailjunction
{
	namespace
	{
		/// The pressure of a filler image and the total processors that its tasks use.
		struct filler_image_pressure
		{
			std::string image;
			double cpus{};
			estimate pressure;
		};

		/// The estimate with the variance it has gained since its last update, at most that of the prior.
		estimate aged(estimate value, double drift, double max_variance, instant now) noexcept
		{
			const double seconds = std::chrono::duration<double>(now - value.updated_at).count();
			value.variance = std::min(max_variance, value.variance + drift * std::max(0.0, seconds));
			value.updated_at = now;
			return value;
		}

		/// Records the time of a task's measurement.
		/// \returns Whether enough time has passed since the task's previous measurement.
		bool note_measurement(pressure_model& model, const task_key& task, millis min_interval, instant now)
		{
			const auto [found, first] = model.measured_at.try_emplace(task, now);
			if (!first && now - found->second < min_interval)
				return false;
			found->second = now;
			return true;
		}

		estimate base_now(const pressure_model& model, const task_key& task, const pressure_policy& policy, instant now)
		{
			const auto found = model.bases.find(first_of_group(task));
			if (found == model.bases.end())
				return {policy.prior_base, policy.prior_base_variance, now};
			return aged(found->second, policy.base_drift, policy.prior_base_variance, now);
		}

		estimate pressure_now(const pressure_model& model, const std::string& serving, const std::string& filler,
							  const pressure_policy& policy, instant now)
		{
			const auto found = model.pairs.find(make_image_pair(serving, filler));
			if (found == model.pairs.end())
				return {policy.prior_pressure, policy.prior_variance, now};
			return aged(found->second, policy.pressure_drift, policy.prior_variance, now);
		}

		std::vector<filler_image_pressure> sum_by_image(const pressure_model& model, const std::string& serving,
														std::span<const filler_use> fillers,
														const pressure_policy& policy, instant now)
		{
			std::vector<filler_image_pressure> out;
			for (const auto& filler : fillers)
			{
				const auto same =
					std::find_if(out.begin(), out.end(),
								 [&](const filler_image_pressure& entry) { return entry.image == filler.image; });
				if (same != out.end())
					same->cpus += filler.cpus;
				else
					out.push_back({filler.image, filler.cpus, pressure_now(model, serving, filler.image, policy, now)});
			}
			return out;
		}

		/// Updates a group's load with a measurement, without the expected contribution of the fillers beside the task.
		void learn_load(pressure_model& model, const task_key& task, const load_sample& sample,
						const pressure_policy& policy)
		{
			auto& load = model.loads[first_of_group(task)];
			note_load(load.track, sample, policy.load);
			for (std::size_t i = 0; i < forecast_offsets.size(); ++i)
				load.forecast[i] = load_at(load.track, sample.at + forecast_offsets[i], policy.load)->log_ratio;
		}

		/// Corrects an estimate by its share of the error; \p weight is the derivative of the measurement by the
		/// estimated value.
		void correct(estimate& value, double weight, double error, double total_variance) noexcept
		{
			const double gain = value.variance * weight / total_variance;
			value.mean += gain * error;
			value.variance *= 1.0 - gain * weight;
		}
	}

	double pressure_of(const pressure_model& model, const std::string& serving, const std::string& filler,
					   const pressure_policy& policy)
	{
		const auto found = model.pairs.find(make_image_pair(serving, filler));
		return found == model.pairs.end() ? policy.prior_pressure : found->second.mean;
	}

	double base_of(const pressure_model& model, const task_key& task, const pressure_policy& policy)
	{
		const auto found = model.bases.find(first_of_group(task));
		return found == model.bases.end() ? policy.prior_base : found->second.mean;
	}

	load_profile forecast_bases(const pressure_model& model, const task_key& task, const pressure_policy& policy)
	{
		const auto found = model.loads.find(first_of_group(task));
		if (found != model.loads.end())
			return found->second.forecast;
		load_profile out{};
		out.fill(base_of(model, task, policy));
		return out;
	}

	std::vector<measured_latency> mean_by_group(std::vector<measured_latency> measured)
	{
		std::sort(measured.begin(), measured.end(),
				  [](const measured_latency& left, const measured_latency& right) { return left.task < right.task; });
		std::vector<measured_latency> out;
		for (auto first = measured.begin(); first != measured.end();)
		{
			double sum = 0.0;
			auto end = first;
			for (; end != measured.end() && same_group(first->task, end->task); ++end)
				sum += std::log(end->latency_ratio);
			out.push_back(std::move(*first));
			out.back().latency_ratio = std::exp(sum / static_cast<double>(end - first));
			first = end;
		}
		return out;
	}

	void learn_pressure(pressure_model& model, const measured_latency& measured, std::span<const filler_use> fillers,
						const pressure_policy& policy, instant now)
	{
		if (!note_measurement(model, measured.task, policy.min_sample_interval, now))
			return;
		auto base = base_now(model, measured.task, policy, now);
		auto images = sum_by_image(model, measured.image, fillers, policy, now);
		double expected = base.mean;
		double variance = base.variance + policy.measurement_variance;
		for (const auto& entry : images)
		{
			expected += entry.pressure.mean * entry.cpus;
			variance += entry.pressure.variance * entry.cpus * entry.cpus;
		}
		const double measured_log_ratio = std::log(std::min(measured.latency_ratio, policy.max_latency_ratio));
		const double error = measured_log_ratio - expected;
		const double added = expected - base.mean;
		const double added_variance = variance - base.variance;
		correct(base, 1.0, error, variance);
		model.bases[first_of_group(measured.task)] = base;
		for (auto& entry : images)
		{
			correct(entry.pressure, entry.cpus, error, variance);
			entry.pressure.mean = std::clamp(entry.pressure.mean, 0.0, policy.max_pressure);
			model.pairs[make_image_pair(measured.image, entry.image)] = entry.pressure;
		}
		learn_load(model, measured.task, {now, measured_log_ratio - added, added_variance}, policy);
	}

	void drop_oldest_pairs(pressure_model& model, const pressure_policy& policy)
	{
		if (model.pairs.size() <= policy.max_pairs)
			return;
		std::vector<std::pair<instant, image_pair>> oldest;
		for (const auto& [pair, pressure] : model.pairs)
			oldest.emplace_back(pressure.updated_at, pair);
		const auto first_kept = oldest.end() - static_cast<std::ptrdiff_t>(policy.max_pairs);
		std::nth_element(oldest.begin(), first_kept, oldest.end());
		for (auto dropped = oldest.begin(); dropped != first_kept; ++dropped)
			model.pairs.erase(dropped->second);
	}

	void forget_bases(pressure_model& model, const job_id& job)
	{
		absl::erase_if(model.bases, [&](const auto& base) { return base.first.job == job; });
		absl::erase_if(model.loads, [&](const auto& load) { return load.first.job == job; });
		absl::erase_if(model.measured_at, [&](const auto& task) { return task.first.job == job; });
	}
}
