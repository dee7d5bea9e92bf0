// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The configuration as this entry has it.
#pragma once

#include <trailjunction/decide/version/config_document.hpp>
#include <trailjunction/entry/settings.hpp>
#include <trailjunction/store/platform_client.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <optional>
#include <string>

namespace trailjunction
{
	/// \brief What came of an operator's change.
	struct config_change
	{
		absl::Status status;    ///< aborted: another change came first; unavailable: nothing is known to have changed.
		config_version version; ///< In force, as far as known.
	};

	/// \brief Polls the configuration's row, and changes it.
	/// \details Accepted is what the table service has taken under the condition of the version. Versions only grow:
	/// an older document that some peer or a stale read shows is not applied.
	class config_keeper
	{
	public:
		using listener = std::function<void(const config_document&)>;

		config_keeper(boost::asio::io_context& io, const entry_settings& settings, platform_client& platform,
					  listener on_change);

		/// \brief Starts to poll.
		void start();

		/// \brief Changes one path, under the condition of a version where one is named.
		/// \param command Identifies the operator's command: its repetition changes nothing more.
		[[nodiscard]] boost::asio::awaitable<config_change>
		change(std::string path, std::string value, std::optional<config_version> if_version, std::string command);

		[[nodiscard]] const config_document& current() const noexcept
		{
			return document_;
		}
		[[nodiscard]] const std::string& text() const noexcept
		{
			return text_;
		}
		/// \brief Whether some version was confirmed by the store, or by a peer that had it from the store lately.
		[[nodiscard]] bool confirmed() const noexcept
		{
			return confirmed_;
		}
		/// \brief How long ago the store last confirmed the version.
		[[nodiscard]] millis age(instant now) const noexcept;

	private:
		boost::asio::awaitable<void> poll();
		boost::asio::awaitable<void> ask_peers();
		void take(const std::string& row_data, config_version version);

		boost::asio::io_context& io_;
		const entry_settings& settings_;
		platform_client& platform_;
		listener on_change_;
		config_document document_;
		std::string text_{"{}"};
		std::string recent_commands_; ///< Identifiers of the last commands, newest last, separated by spaces.
		instant confirmed_at_{};
		bool confirmed_{};
	};
}
