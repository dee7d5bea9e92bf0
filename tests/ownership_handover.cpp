// SPDX-License-Identifier: MIT
/// \file
/// \brief Tests of takeover and hand-over of a shard's ownership; pure functions, no process.
#include "job_fixtures.hpp"

#include <trailjunction/entry/job_entry_settings.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <random>

using namespace trailjunction;
using namespace trailjunction::job_fixtures;

namespace
{
	ownership_times times_of(double processors)
	{
		ownership_times out;
		out.takeover_delay = takeover_delay_for(processors);
		return out;
	}
}

TEST_CASE("a member with more processors has a shorter takeover delay, and the delay is bounded", "[jobs]")
{
	CHECK(takeover_delay_for(1.0) < takeover_delay_for(0.5));
	CHECK(takeover_delay_for(0.5) < takeover_delay_for(0.25));
	CHECK(takeover_delay_for(0.25) < takeover_delay_for(0.12));
	CHECK(takeover_delay_for(0.12) <= takeover_delay_for(0.001));
	CHECK(takeover_delay_for(0.0) == takeover_delay_for(0.001));
	CHECK(takeover_delay_for(0.001) <= ownership_times{}.observe_every);
}

TEST_CASE("of members that see a free row at the same time, the one with the most processors takes over first",
		  "[jobs]")
{
	const auto large = times_of(0.5);
	const auto small = times_of(0.12);
	for (const auto& writer : {row_writer{.released = true}, row_writer{}})
	{
		ownership_observation observation;
		record_observation(observation, 7, writer, start);
		const auto first = takeover_due(observation, large);
		const auto last = takeover_due(observation, small);
		REQUIRE(first);
		REQUIRE(last);
		CHECK(*first < *last);
		CHECK_FALSE(may_take_over(observation, small, *first));
		CHECK(may_take_over(observation, small, *last));
	}
}

TEST_CASE("a restarted member retakes its own row at once, unless the row was released", "[jobs]")
{
	const auto small = times_of(0.12);
	ownership_observation observation;
	record_observation(observation, 7, {.by_predecessor = true}, start);
	CHECK(may_take_over(observation, small, start));
	record_observation(observation, 8, {.released = true, .by_predecessor = true}, start);
	CHECK_FALSE(may_take_over(observation, small, start));
	CHECK(may_take_over(observation, small, start + small.takeover_delay));
}

TEST_CASE("after a failed read no takeover is due", "[jobs]")
{
	ownership_observation observation;
	record_observation(observation, 7, {}, start);
	record_failed_read(observation);
	CHECK_FALSE(takeover_due(observation, times_of(1.0)));
}

TEST_CASE("an owner hands the row over only after it was behind for hand_over_after without interruption", "[jobs]")
{
	const handover_policy policy;
	const auto late = policy.max_lag + millis{1};
	owner_lag lag;
	note_lag(lag, late, policy, start);
	CHECK_FALSE(should_hand_over(lag, std::nullopt, policy, start + policy.hand_over_after - millis{1}));
	CHECK(should_hand_over(lag, std::nullopt, policy, start + policy.hand_over_after));
	note_lag(lag, policy.max_lag, policy, start + policy.hand_over_after);
	note_lag(lag, late, policy, start + policy.hand_over_after);
	CHECK_FALSE(should_hand_over(lag, std::nullopt, policy, start + policy.hand_over_after));
}

TEST_CASE("if no member can keep up, hand-overs are at least min_interval apart", "[jobs]")
{
	const handover_policy policy;
	owner_lag lag;
	note_lag(lag, policy.max_lag * 2, policy, start);
	const auto later = start + policy.hand_over_after;
	CHECK_FALSE(should_hand_over(lag, policy.min_interval - millis{1}, policy, later));
	CHECK(should_hand_over(lag, policy.min_interval, policy, later));
}

TEST_CASE("a dead owner is replaced within two seconds, however long a contact loss users tolerate", "[jobs]")
{
	constexpr auto two_seconds = millis{2'000};
	for (const auto contact : {millis{3'000}, millis{5'000}, millis{60'000}})
	{
		job_entry_settings settings;
		settings.contact = contact;
		settings.processors = 0.5;
		const auto times = ownership_times_of(settings);
		CHECK(times.lease + times.margin + times.takeover_delay < two_seconds);
		CHECK(4 * renewal_interval(times.lease) <= times.lease);
	}
}

TEST_CASE("the lease is short while the store answers quickly, and outlasts a store that becomes 60 times slower",
		  "[jobs]")
{
	const auto times = ownership_times_of(job_entry_settings{});
	constexpr auto usual = millis{8};
	constexpr int slowdown = 60;
	CHECK(lease_for(std::nullopt, times) == times.lease);
	const auto lease = lease_for(usual, times);
	CHECK(lease + times.margin < millis{1'000});
	CHECK(renewal_interval(lease) + slowdown * usual < lease);
	const auto slow_lease = lease_for(slowdown * usual, times);
	CHECK(slow_lease == times.lease);
	// A renewal may have to wait for another transaction to be answered.
	CHECK(renewal_interval(slow_lease) + 2 * slowdown * usual < slow_lease);
}

namespace
{
	/// An owner that renews its row through a store of changing speed, and a standby that reads the row; in steps of
	/// one millisecond.
	class lease_race
	{
	public:
		explicit lease_race(unsigned seed) : random_{seed} {}

		/// \returns Whether the standby took over while the owner might still act.
		[[nodiscard]] bool both_act(millis duration)
		{
			record_observation(seen_, version_, {}, now_);
			for (const auto end = now_ + duration; now_ < end; now_ += millis{1})
			{
				if (draw(2'000) == 0)
					slowdown_ = 1 + draw(100);
				step_owner();
				step_standby();
				// The takeover is conditional on the version that was read.
				if (!may_take_over(seen_, times_, now_) || seen_.version != version_)
					continue;
				if (holds_lease(renewal_sent_, lease_, now_))
					return true;
				restart();
			}
			return false;
		}

	private:
		[[nodiscard]] int draw(int below)
		{
			return std::uniform_int_distribution<int>{0, below - 1}(random_);
		}

		/// A transaction is applied at some time between its sending and its answer, which may be lost.
		void step_owner()
		{
			if (!sent_ && now_ >= renewal_sent_ + renewal_interval(lease_))
			{
				sent_ = now_;
				applied_at_ = now_ + millis{draw(8 * slowdown_ + 1)};
				answered_at_ = *applied_at_ + millis{draw(8 * slowdown_ + 1)} + millis{draw(4) == 0 ? 600 : 0};
				sent_lease_ = lease_for(usual_, times_);
				lease_ = std::min(lease_, sent_lease_);
			}
			if (applied_at_ && now_ >= *applied_at_)
			{
				++version_;
				row_lease_ = sent_lease_;
				applied_at_.reset();
			}
			if (sent_ && !applied_at_ && now_ >= answered_at_)
			{
				usual_ = std::chrono::duration_cast<millis>(now_ - *sent_);
				renewal_sent_ = *sent_;
				lease_ = sent_lease_;
				sent_.reset();
			}
		}

		void step_standby()
		{
			if (!read_until_ && now_ >= next_read_)
			{
				read_until_ = now_ + millis{draw(4 * slowdown_ + 1)};
				read_version_ = version_;
				read_lease_ = row_lease_;
			}
			if (!read_until_ || now_ < *read_until_)
				return;
			record_observation(seen_, read_version_, {false, false, read_lease_}, now_);
			read_until_.reset();
			next_read_ = now_ + observation_interval(seen_, times_, draw(100) / 100.0);
		}

		void restart()
		{
			renewal_sent_ = now_;
			lease_ = times_.lease;
			row_lease_.reset();
			sent_.reset();
			applied_at_.reset();
			record_observation(seen_, ++version_, {}, now_);
		}

		std::mt19937 random_;
		ownership_times times_{ownership_times_of(job_entry_settings{})};
		instant now_{instant{} + std::chrono::hours{1}};
		int slowdown_{1};
		instant renewal_sent_{now_};
		millis lease_{times_.lease};
		millis sent_lease_{};
		std::optional<millis> usual_;
		std::optional<millis> row_lease_; ///< As the row states it.
		std::optional<instant> sent_;     ///< Of the transaction without an answer.
		std::optional<instant> applied_at_;
		instant answered_at_{};
		std::int64_t version_{1};
		ownership_observation seen_;
		std::optional<instant> read_until_; ///< End of the read in flight.
		std::int64_t read_version_{};
		std::optional<millis> read_lease_;
		instant next_read_{now_};
	};
}

TEST_CASE("no standby takes the row over while its owner may act, however the lease and the store's speed change",
		  "[jobs]")
{
	for (unsigned seed = 1; seed <= 20; ++seed)
	{
		INFO("seed " << seed);
		CHECK_FALSE(lease_race{seed}.both_act(std::chrono::minutes{2}));
	}
}

TEST_CASE("standbys that were started together soon read the row at different times", "[jobs]")
{
	// In step, all of them saw a released row a second late, and the roomiest one no earlier than the others.
	const auto times = ownership_times_of(job_entry_settings{});
	constexpr int standbys = 50;
	constexpr int reads = 20;
	std::mt19937 random{7};
	ownership_observation seen;
	record_observation(seen, 1, {}, instant{});
	std::vector<millis> last_reads;
	for (int i = 0; i < standbys; ++i)
	{
		millis at{};
		for (int j = 0; j < reads; ++j)
			at += observation_interval(seen, times, std::uniform_real_distribution<double>{0.0, 1.0}(random));
		last_reads.push_back(at % times.observe_every);
	}
	std::sort(last_reads.begin(), last_reads.end());
	millis longest_gap{};
	for (std::size_t i = 1; i < last_reads.size(); ++i)
		longest_gap = std::max(longest_gap, last_reads[i] - last_reads[i - 1]);
	CHECK(longest_gap < times.observe_every / 4);
}
