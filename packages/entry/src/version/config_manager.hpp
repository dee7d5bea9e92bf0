// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Reads and changes the configuration of requests and tasks in the table service.
/// \details An entry that owns jobs uses configuration_follower instead.
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
	/// \brief The result of a configuration change by an operator.
	struct config_change_result
	{
		absl::Status status;    ///< aborted: another change came first; unavailable: nothing is known to have changed.
		config_version version; ///< The latest version known to be in effect.
	};

	/// \brief Polls the configuration row and applies changes to it.
	/// \details A change is accepted once the table service has applied a write that is conditional on the version.
	/// Versions only increase: an older document from a peer or a stale read is not applied.
	class config_manager
	{
	public:
		using listener = std::function<void(const config_document&)>;

		config_manager(boost::asio::io_context& io, const entry_settings& settings, platform_client& platform,
					   listener on_change);

		/// \brief Starts polling.
		void start();

		/// \brief Changes the value at one path of the document.
		/// \param if_version If set, the change is made only if this version is in effect.
		/// \param command Identifies the command of the operator; repeating it changes nothing.
		[[nodiscard]] boost::asio::awaitable<config_change_result>
		change(std::string path, std::string value, std::optional<config_version> if_version, std::string command);

		[[nodiscard]] const config_document& current() const noexcept
		{
			return document_;
		}
		[[nodiscard]] const std::string& document_text() const noexcept
		{
			return document_text_;
		}
		/// \brief Whether a version was confirmed by the store, or by a peer that recently read it from the store.
		[[nodiscard]] bool is_confirmed() const noexcept
		{
			return confirmed_;
		}
		/// \brief The time since the store last confirmed the version.
		[[nodiscard]] millis age(instant now) const noexcept;

	private:
		boost::asio::awaitable<void> poll();
		boost::asio::awaitable<void> read_from_peers();
		void apply_row(const std::string& row_data, config_version version);

		boost::asio::io_context& io_;
		const entry_settings& settings_;
		platform_client& platform_;
		listener on_change_;
		config_document document_;
		std::string document_text_{"{}"};
		std::string recent_commands_; ///< Identifiers of the latest commands, newest last, separated by spaces.
		instant confirmed_at_{};
		bool confirmed_{};
	};
}
