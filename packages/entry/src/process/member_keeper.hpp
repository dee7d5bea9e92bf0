// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Keeps the membership lease of this entry and tracks the other members' rows; used by entries that own tasks.
#pragma once

#include <trailjunction/decide/process/membership.hpp>
#include <trailjunction/decide/process/quota.hpp>
#include <trailjunction/decide/version/config_document.hpp>
#include <trailjunction/entry/settings.hpp>
#include <trailjunction/store/platform_client.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <optional>
#include <string>

namespace trailjunction
{
	/// \brief Resource amounts by account.
	using account_amounts = absl::flat_hash_map<account_id, resources>;

	/// \brief Quota needs of accounts at this entry.
	using account_needs = absl::flat_hash_map<account_id, quota_need>;

	/// \brief Renews this entry's membership row and reads the rows of all members.
	/// \details One write renews the lease for all shards of the entry.
	class member_keeper
	{
	public:
		using need_source = std::function<account_needs()>;

		member_keeper(boost::asio::io_context& io, const entry_settings& settings, platform_client& platform,
					  incarnation own_incarnation, need_source needs);

		/// \brief Starts the renewal and read loops.
		void start();

		/// \brief Marks this entry as leaving in its row, so that others may take over at once.
		void leave();

		/// \brief Sets the handler for the loss of the member lease.
		/// \details It is called when a renewal succeeded only after the lease had lapsed, because another member may
		/// have taken the shards meanwhile, and when this member was superseded.
		void on_lapse(std::function<void()> step_down)
		{
			step_down_ = std::move(step_down);
		}

		/// \brief Whether another process has taken this member's name. This process then never owns a shard again.
		[[nodiscard]] bool superseded() const noexcept
		{
			return superseded_;
		}

		/// \brief Number of lapses of the lease, by which operations can detect a lapse since they began.
		[[nodiscard]] std::uint64_t lapses() const noexcept
		{
			return lapses_;
		}

		/// \brief Whether this entry may act as an owner now.
		[[nodiscard]] bool may_own(instant now) const noexcept;
		[[nodiscard]] const member_table& members() const noexcept
		{
			return members_;
		}
		[[nodiscard]] std::vector<member_id> live(instant now) const;

		/// \brief Applies the quotas of a new configuration.
		void configure(const config_document& document);

		/// \brief The total that this entry's runs of an account may use; empty if the account has no quota.
		[[nodiscard]] std::optional<resources> usable_quota(const account_id& account) const;

		/// \brief The published usage of an account by the runs of all other members.
		[[nodiscard]] resources used_elsewhere(const account_id& account) const;

	private:
		boost::asio::awaitable<void> renew();
		boost::asio::awaitable<void> read_all();
		void choose_ceilings();
		void verify_ceilings(instant read_at);
		[[nodiscard]] resources published_elsewhere(const account_id& account) const;
		void note_conflict(const table_row& row);
		void apply_row(const table_row& row, const member_id& member, instant now);
		/// Logs that the row of a member can't be read, once until it can.
		void note_readable(const member_id& member, bool readable);
		[[nodiscard]] std::string row_data() const;

		boost::asio::io_context& io_;
		const entry_settings& settings_;
		platform_client& platform_;
		incarnation incarnation_;
		need_source needs_;
		member_table members_;
		/// Quota ceilings published by the other members.
		absl::flat_hash_map<member_id, account_amounts> ceilings_by_member_;
		absl::flat_hash_map<member_id, account_amounts> usage_by_member_;
		absl::flat_hash_set<member_id> unreadable_members_; ///< Members whose row can't be read, or not all of it.
		absl::flat_hash_map<account_id, quota_share> shares_;
		account_amounts quotas_;
		account_amounts used_;
		random_engine random_;
		instant published_at_{}; ///< When the write of the row with the current ceilings was acknowledged; zero before.
		instant last_renewal_began_{};
		std::int64_t version_{};
		std::function<void()> step_down_;
		std::uint64_t lapses_{};
		bool has_written_row_{}; ///< This incarnation has written the row before.
		bool superseded_{};
		bool leaving_{};
	};
}
