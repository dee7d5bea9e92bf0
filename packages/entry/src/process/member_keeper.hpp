// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief This entry's own membership, and what it knows of the others.
#pragma once

#include <trailjunction/decide/process/membership.hpp>
#include <trailjunction/decide/version/config_document.hpp>
#include <trailjunction/entry/settings.hpp>
#include <trailjunction/store/platform_client.hpp>

#include <absl/container/flat_hash_map.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace trailjunction
{
	/// \brief What each team has running, as one member publishes it.
	using team_usage = absl::flat_hash_map<team_id, resources>;

	/// \brief Renews this entry's row, and reads all members' rows.
	/// \details One write renews the lease for all shards of the entry.
	class member_keeper
	{
	public:
		using usage_source = std::function<team_usage()>;

		member_keeper(boost::asio::io_context& io, const entry_settings& settings, platform_client& platform,
					  incarnation life, usage_source usage);

		/// \brief Starts to renew and to read.
		void start();

		/// \brief Says in the row that this entry leaves: others may take over at once.
		void leave();

		/// \brief Whether this entry may act as an owner now.
		[[nodiscard]] bool may_own(instant now) const noexcept;
		[[nodiscard]] const member_table& members() const noexcept
		{
			return members_;
		}
		[[nodiscard]] std::vector<member_id> live(instant now) const;

		/// \brief Claims of a team that the other members have published.
		[[nodiscard]] resources used_elsewhere(const team_id& team) const;

	private:
		boost::asio::awaitable<void> renew();
		boost::asio::awaitable<void> read_all();
		[[nodiscard]] std::string row_data() const;

		boost::asio::io_context& io_;
		const entry_settings& settings_;
		platform_client& platform_;
		incarnation life_;
		usage_source usage_;
		member_table members_;
		absl::flat_hash_map<member_id, team_usage> usage_of_;
		instant renewed_before_{};
		std::int64_t version_{};
		bool leaving_{};
	};
}
