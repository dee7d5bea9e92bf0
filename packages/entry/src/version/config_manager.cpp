// SPDX-License-Identifier: MIT
#include "config_manager.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/core/json.hpp>
#include <trailjunction/core/random.hpp>
#include <trailjunction/net/coroutines.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <vector>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		constexpr auto poll_interval = millis{500};
		constexpr auto read_timeout = millis{2'000};
		constexpr auto change_timeout = millis{4'000};
		constexpr auto peer_timeout = millis{500};
		constexpr std::int64_t max_peer_age_ms = 10'000; ///< An older confirmation by a peer is ignored.
		constexpr std::size_t max_recorded_commands = 64;
		constexpr int max_write_attempts = 5;
		constexpr std::string_view row_key = "config/main";

		/// The row: the identifiers of the latest commands on the first line, followed by the document.
		struct config_row
		{
			std::string commands;
			std::string document{"{}"};
		};

		config_row split_row(const std::string& data)
		{
			if (data.empty())
				return {};
			const auto end = data.find('\n');
			return {data.substr(0, end), end == std::string::npos ? "{}" : data.substr(end + 1)};
		}

		bool contains_command(const std::string& commands, const std::string& command)
		{
			const std::vector<std::string> ids = absl::StrSplit(commands, ' ');
			return std::find(ids.begin(), ids.end(), command) != ids.end();
		}

		std::string add_command(const std::string& commands, const std::string& command)
		{
			std::vector<std::string> ids = absl::StrSplit(commands, ' ', absl::SkipEmpty());
			ids.push_back(command);
			if (ids.size() > max_recorded_commands)
				ids.erase(ids.begin(), ids.end() - static_cast<std::ptrdiff_t>(max_recorded_commands));
			return absl::StrJoin(ids, " ");
		}
	}

	config_manager::config_manager(asio::io_context& io, const entry_settings& settings, platform_client& platform,
								   listener on_change)
		: io_{io},
		  settings_{settings},
		  platform_{platform},
		  on_change_{std::move(on_change)}
	{
	}

	void config_manager::start()
	{
		asio::co_spawn(io_, poll(), asio::detached);
	}

	millis config_manager::age(instant now) const noexcept
	{
		return std::chrono::duration_cast<millis>(now - confirmed_at_);
	}

	asio::awaitable<void> config_manager::poll()
	{
		while (true)
		{
			const auto requested_at = boottime_now();
			const auto row = co_await platform_.get(std::string{row_key}, requested_at + read_timeout);
			if (row.ok())
			{
				apply_row(row->data, {static_cast<std::uint64_t>(row->version)});
				confirmed_at_ = requested_at;
				confirmed_ = true;
			}
			else if (!confirmed_)
			{
				co_await read_from_peers();
			}
			asio::steady_timer timer{io_, poll_interval};
			(void)co_await timer.async_wait(as_result);
		}
	}

	asio::awaitable<void> config_manager::read_from_peers()
	{
		for (const auto& peer : settings_.peers)
		{
			http_client client{io_, peer, 1};
			http_request request{"GET", "/v1/config", {}, ""};
			const auto result = co_await client.send(std::move(request), boottime_now() + peer_timeout);
			if (result.delivery != delivery_status::answered || result.response.status != 200)
				continue;
			const auto parsed = parse_json(result.response.body);
			if (!parsed.ok() || !parsed->is_object())
				continue;
			const auto& object = parsed->get_object();
			if (number_or(object, "age_ms", max_peer_age_ms) >= max_peer_age_ms)
				continue;
			apply_row(text_or(object, "row"), {static_cast<std::uint64_t>(number_or(object, "version"))});
			confirmed_ = true;
		}
	}

	void config_manager::apply_row(const std::string& row_data, config_version version)
	{
		if (version <= document_.version)
			return;
		const auto row = split_row(row_data);
		auto document = parse_config(row.document, version);
		if (!document.ok())
		{
			log_event(event::config_refused,
					  {{"version", version.value}, {"reason", std::string{document.status().message()}}});
			return;
		}
		document_ = *std::move(document);
		document_text_ = row.document;
		recent_commands_ = row.commands;
		log_event(event::config_applied, {{"version", version.value}});
		on_change_(document_);
	}

	asio::awaitable<config_change_result> config_manager::change(std::string path, std::string value,
																 std::optional<config_version> if_version,
																 std::string command)
	{
		const auto deadline = boottime_now() + change_timeout;
		for (int attempt = 0; attempt < max_write_attempts; ++attempt)
		{
			const auto row = co_await platform_.get(std::string{row_key}, deadline);
			if (!row.ok())
				co_return config_change_result{
					absl::UnavailableError(absl::StrCat("not accepted: ", row.status().message())), document_.version};
			const config_version version{static_cast<std::uint64_t>(row->version)};
			const auto previous = split_row(row->data);
			apply_row(row->data, version);
			if (contains_command(previous.commands, command))
				co_return config_change_result{absl::OkStatus(), version};
			if (if_version && *if_version != version)
				co_return config_change_result{
					absl::AbortedError(
						absl::StrCat("version ", version.value, " is in effect, not ", if_version->value)),
					version};
			const auto changed = change_config(previous.document, path, value);
			if (!changed.ok())
				co_return config_change_result{changed.status(), version};
			const auto data = absl::StrCat(add_command(previous.commands, command), "\n", *changed);
			const auto put_result =
				co_await platform_.put(std::string{row_key}, data, row->version, random_token(), deadline);
			if (put_result.outcome == write_outcome::applied)
			{
				apply_row(data, {static_cast<std::uint64_t>(put_result.row.version)});
				co_return config_change_result{absl::OkStatus(), document_.version};
			}
			if (put_result.outcome == write_outcome::refused)
				co_return config_change_result{absl::UnavailableError("not accepted: the store refused the write"),
											   version};
			// A conflict, or an unknown outcome that later writes may hide: the next read shows in the list of commands
			// whether the write was applied.
			if (put_result.outcome == write_outcome::unknown && boottime_now() >= deadline)
				co_return config_change_result{
					absl::UnknownError("the outcome is unknown; repeat the command with the same id"), version};
		}
		co_return config_change_result{absl::AbortedError("each attempt conflicted with a concurrent change"),
									   document_.version};
	}
}
