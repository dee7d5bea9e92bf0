// SPDX-License-Identifier: MIT
/// \file
/// \brief A simulated fleet with tasks that crash their workers. Decisions only, with a simulated clock.
#pragma once

#include "job_fixtures.hpp"

#include <trailjunction/jobs/held_tasks.hpp>

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>

namespace trailjunction::simulated
{
	using namespace job_fixtures;

	inline constexpr auto step = millis{50};
	inline constexpr auto simulated_time = millis{60'000};
	inline constexpr auto downtime = millis{2'000};      // downtime of a worker after a crash
	inline constexpr auto report_interval = millis{500}; // between two reports of an agent
	inline constexpr auto run_time = millis{1'500};      // of harmless tasks
	inline constexpr auto job_interval = millis{100};    // per ten workers
	inline constexpr int tasks_per_job = 8;
	inline constexpr std::uint32_t long_running_per_job = 14;

	/// Users accept two more starts after three workers have crashed.
	inline constexpr int max_accepted_starts = 5;

	struct fleet_options
	{
		std::uint64_t seed{};
		int workers{11};
		int harmful{};               ///< Tasks that crash each worker.
		millis harm_after{10};       ///< Time from their start to the crash.
		bool harmful_long_running{}; ///< Whether they would run for ever.
		int long_running_jobs{};     ///< Jobs of harmless long-running tasks.
		millis wave_interval{};      ///< Time between two waves in which a share of the workers crashes; 0: none.
		double wave_share{0.3};
		millis owner_change_interval{}; ///< Time between two changes of the owner; 0: none.
		double crashes_per_minute{};    ///< Random crashes per minute in the whole fleet.
		double power_losses{};          ///< Expected number of crashes of the whole fleet within the simulated time.
		bool flapping{};                ///< One worker crashes repeatedly by itself.
		crash_policy policy;
	};

	struct fleet_figures
	{
		int max_starts{}; ///< The most starts of any one harmful task.
		int harmful_crashes{};
		int harmless_given_up{}; ///< Jobs that failed, or of which a long-running task was held back.
		int harmless_jobs{};
		double work_done{}; ///< In seconds of harmless tasks.
		double work_lost{};
	};

	/// A fleet with an owner that learns of a crash when the worker is back.
	class fleet
	{
	public:
		explicit fleet(const fleet_options& options) : options_{options}, random_{options.seed}
		{
			for (int i = 0; i < options.workers; ++i)
				workers_.push_back({absl::StrCat("w", i), 0, start, start, false, {}});
			for (int i = 0; i < options.harmful; ++i)
				harmful_.insert(absl::StrCat("harm", i));
		}

		fleet_figures simulate()
		{
			for (now_ = start; now_ < start + simulated_time; now_ += step)
			{
				submit_jobs();
				if (is_due(options_.owner_change_interval))
					change_owner();
				if (is_due(options_.wave_interval))
					select_wave();
				for (auto& current : workers_)
					step_worker(current);
				note_held_back();
				place_waiting();
				wave_.clear();
			}
			for (const auto& [id, job] : table_.jobs)
				if (job->status == job_status::failed)
					given_up_.insert(id.str());
			for (const auto& id : given_up_)
				out_.harmless_given_up += harmful_.contains(id) ? 0 : 1;
			for (const auto& [id, starts] : starts_)
				out_.max_starts = std::max(out_.max_starts, starts);
			return out_;
		}

	private:
		struct worker
		{
			std::string name;
			int incarnation{};
			instant back_at{};
			instant last_response{};
			bool crashed{};
			/// By run that was lost in the latest crash: its age as the agent reports it.
			absl::flat_hash_map<task_run, crash_age> reported_ages;
		};
		struct run
		{
			task_run run_id;
			instant started_at{};
		};

		bool chance(double per_minute)
		{
			const double minute = 60'000.0 / static_cast<double>(step.count());
			return std::uniform_real_distribution<double>{}(random_) < per_minute / minute;
		}

		bool is_due(millis interval) const
		{
			const auto since = std::chrono::duration_cast<millis>(now_ - start).count();
			return interval.count() > 0 && since > 0 && since % interval.count() == 0;
		}

		void note_held_back()
		{
			for (const auto& key : table_.held_back)
				given_up_.insert(key.job.str());
			(void)release_held_back(table_, options_.policy, now_);
		}

		void select_wave()
		{
			std::vector<const worker*> all;
			for (const auto& current : workers_)
				all.push_back(&current);
			std::shuffle(all.begin(), all.end(), random_);
			all.resize(static_cast<std::size_t>(options_.wave_share * static_cast<double>(all.size())));
			wave_.insert(all.begin(), all.end());
		}

		/// The next owner knows only what is stored and what agents report.
		void change_owner()
		{
			job_table next;
			for (const auto& [id, job] : table_.jobs)
			{
				auto copy = make_job(id, job->queue, job->spec, job->accepted_at);
				REQUIRE(decode_progress(copy, encode_progress(*job), now_).ok());
				add_job(next, std::move(copy));
			}
			next.ended = table_.ended;
			table_ = std::move(next);
		}

		static worker_incarnation incarnation_of(const worker& current)
		{
			return worker_incarnation{absl::StrCat(current.name, "+", current.incarnation)};
		}

		void add(const std::string& id, std::uint32_t tasks, bool is_long_running = false)
		{
			auto group = group_of(tasks, is_long_running ? 100 : 500);
			group.estimate = run_time;
			group.long_running = is_long_running;
			auto job = job_of(id, {group});
			job.accepted_at = now_;
			add_job(table_, std::move(job));
		}

		void submit_jobs()
		{
			const auto since = std::chrono::duration_cast<millis>(now_ - start);
			const auto jobs = std::max(1, options_.workers / 10);
			if (since.count() % job_interval.count() == 0 && random_() % 2 == 0)
				for (int i = 0; i < jobs; ++i)
				{
					add(absl::StrCat("job", out_.harmless_jobs++), tasks_per_job);
				}
			if (since.count() == 0)
				for (int i = 0; i < options_.long_running_jobs; ++i)
				{
					add(absl::StrCat("lasting", i), long_running_per_job, true);
					++out_.harmless_jobs;
				}
			if (since == millis{5'000})
				for (const auto& id : harmful_)
					add(id, 1, options_.harmful_long_running);
			power_loss_ = chance(options_.power_losses);
		}

		void step_worker(worker& current)
		{
			if (current.crashed)
			{
				if (now_ >= current.back_at)
					restart_worker(current);
				return;
			}
			auto& runs = runs_[incarnation_of(current)];
			const bool by_itself = options_.flapping && &current == &workers_.front() && chance(30.0);
			bool crash = power_loss_ || by_itself || wave_.contains(&current) ||
						 chance(options_.crashes_per_minute / options_.workers);
			const bool harmed = std::any_of(runs.begin(), runs.end(),
											[&](const run& active_run) {
												return harmful_.contains(active_run.run_id.task.job.str()) &&
													   now_ - active_run.started_at >= options_.harm_after;
											});
			out_.harmful_crashes += harmed ? 1 : 0;
			crash = crash || harmed;
			if (crash)
				return crash_worker(current, runs);
			current.last_response = now_;
			const auto is_over = [&](const run& active_run)
			{
				const auto& id = active_run.run_id.task.job.str();
				return now_ - active_run.started_at >= run_time && !harmful_.contains(id) && !id.starts_with("lasting");
			};
			const bool reports =
				std::chrono::duration_cast<millis>(now_ - start).count() % report_interval.count() == 0;
			for (const auto& active_run : runs)
				if (is_over(active_run))
				{
					out_.work_done += seconds(run_time);
					(void)end_run(table_, active_run.run_id, run_outcome::done, "", now_);
				}
				else if (reports)
				{
					confirm_run(table_, active_run.run_id, now_);
					(void)clear_crashes(table_, active_run.run_id, options_.policy, now_);
				}
			std::erase_if(runs, is_over);
		}

		void crash_worker(worker& current, std::vector<run>& runs)
		{
			for (const auto& active_run : runs)
				if (!harmful_.contains(active_run.run_id.task.job.str()))
					out_.work_lost += seconds(now_ - active_run.started_at);
			current.reported_ages.clear();
			for (const auto& active_run : runs)
			{
				const auto age = std::max(
					millis{0}, std::chrono::duration_cast<millis>(current.last_response - active_run.started_at));
				current.reported_ages[active_run.run_id] = {age, age};
			}
			runs.clear();
			current.crashed = true;
			current.back_at = now_ + downtime;
		}

		/// Other workers that went down at the same time and are not back yet, as reported by their agents.
		std::vector<worker_incarnation> silent_workers(const worker& current) const
		{
			std::vector<worker_incarnation> out;
			for (const auto& other : workers_)
				if (&other != &current && other.crashed &&
					in_correlation_window(other.last_response, current.last_response, options_.policy))
					out.push_back(incarnation_of(other));
			return out;
		}

		void restart_worker(worker& current)
		{
			lost_worker lost{incarnation_of(current), current.last_response, silent_workers(current),
							 current.reported_ages};
			for (const auto& lost_run_record : collect_lost_runs(table_, lost, true, options_.policy))
				(void)record_lost_run(table_, lost_run_record, lost.incarnation, options_.policy, now_);
			runs_.erase(lost.incarnation);
			current.crashed = false;
			current.last_response = now_;
			++current.incarnation;
		}

		void place_waiting()
		{
			std::vector<worker_room> rooms;
			for (const auto& current : workers_)
			{
				rooms.push_back(room_of(incarnation_of(current).str()));
				rooms.back().accepts = !current.crashed || now_ - current.last_response < millis{200};
				rooms.back().crashed_recently = current.incarnation > 0 && now_ - current.back_at < millis{10'000};
			}
			const placement_policy placing;
			const pressure_model pressures;
			charge_workers(rooms, table_, pressures, placing);
			for (const auto& decision :
				 place_tasks(rooms, table_, waiting_tasks(table_, 0), pressures, placing, {now_, 0}))
			{
				const auto run_id = assign(table_, decision.task, rooms[decision.worker].incarnation, now_);
				if (workers_[decision.worker].crashed)
				{
					release_run(table_, run_id, now_); // the worker was not reached
					continue;
				}
				if (harmful_.contains(decision.task.job.str()))
					++starts_[decision.task.job.str()];
				runs_[rooms[decision.worker].incarnation].push_back({run_id, now_});
			}
			(void)archive_completed();
		}

		std::vector<job_id> archive_completed()
		{
			for (const auto& [id, job] : table_.jobs)
				if (job->status == job_status::completed)
					job->ended_ms = 1;
			table_.unsaved.clear();
			return archive_ended_jobs(table_);
		}

		static double seconds(std::chrono::nanoseconds time)
		{
			return std::chrono::duration<double>{time}.count();
		}

		fleet_options options_;
		std::mt19937_64 random_;
		instant now_{};
		job_table table_;
		std::vector<worker> workers_;
		std::map<worker_incarnation, std::vector<run>> runs_;
		std::set<std::string> harmful_;
		std::set<std::string> given_up_;
		std::map<std::string, int> starts_;
		bool power_loss_{};
		std::set<const worker*> wave_; ///< Workers that crash in this step.
		fleet_figures out_;
	};
}
