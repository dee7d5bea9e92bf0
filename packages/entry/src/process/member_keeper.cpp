// SPDX-License-Identifier: MIT
#include "member_keeper.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/core/json.hpp>
#include <trailjunction/core/random.hpp>

#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace trailjunction
{
	namespace asio = boost::asio;
	namespace json = boost::json;

	namespace
	{
		constexpr std::string_view prefix = "members/";
		constexpr int renewals_per_lease = 3;

		instant now()
		{
			return std::chrono::steady_clock::now();
		}

		std::string members_prefix(const entry_settings& settings)
		{
			return absl::StrCat(std::string{prefix}, settings.data_centre, "/");
		}

		asio::awaitable<void> pause_for(asio::io_context& io, millis time)
		{
			asio::steady_timer timer{io, time};
			(void)co_await timer.async_wait(asio::experimental::as_tuple(asio::use_awaitable));
		}
	}

	member_keeper::member_keeper(asio::io_context& io, const entry_settings& settings, platform_client& platform,
								 incarnation life, usage_source usage)
		: io_{io},
		  settings_{settings},
		  platform_{platform},
		  life_{life},
		  usage_{std::move(usage)}
	{
	}

	void member_keeper::start()
	{
		asio::co_spawn(io_, renew(), asio::detached);
		asio::co_spawn(io_, read_all(), asio::detached);
	}

	void member_keeper::leave()
	{
		leaving_ = true;
	}

	bool member_keeper::may_own(instant at) const noexcept
	{
		return trailjunction::may_own(renewed_before_, settings_.times, at);
	}

	std::vector<member_id> member_keeper::live(instant at) const
	{
		return live_members(members_, settings_.times, at);
	}

	resources member_keeper::used_elsewhere(const team_id& team) const
	{
		resources sum;
		for (const auto& [member, usage] : usage_of_)
			if (member != settings_.member)
				if (const auto found = usage.find(team); found != usage.end())
					sum += found->second;
		return sum;
	}

	std::string member_keeper::row_data() const
	{
		json::object teams;
		for (const auto& [team, used] : usage_())
			if (used != resources{})
				teams[team.str()] = json::array{used.cpu_milli, used.memory_mib, used.accelerators};
		json::object out;
		out["address"] = to_string(*settings_.operators);
		out["life"] = life_.value;
		out["leaving"] = leaving_;
		out["teams"] = std::move(teams);
		return json::serialize(out);
	}

	asio::awaitable<void> member_keeper::renew()
	{
		const auto key = absl::StrCat(members_prefix(settings_), settings_.member.str());
		const auto interval = settings_.times.member_lease / renewals_per_lease;
		while (true)
		{
			const auto before = now();
			const auto end = co_await platform_.put(key, row_data(), version_, random_token(),
													before + settings_.times.member_lease);
			if (end.how == write_end::applied)
			{
				const bool late =
					renewed_before_ != instant{} && before - renewed_before_ > settings_.times.member_lease;
				if (late)
					log_event(event::member_renewed_late, {{"member", settings_.member.str()}});
				version_ = end.row.version;
				renewed_before_ = before;
			}
			else if (end.how == write_end::conflict)
			{
				// An earlier life of this entry wrote last, or its delayed write came now: go on from there.
				version_ = end.row.version;
				continue;
			}
			else if (const auto row = co_await platform_.get(key, now() + interval); row.ok())
			{
				version_ = row->version;
			}
			const auto spent = std::chrono::duration_cast<millis>(now() - before);
			if (spent < interval)
				co_await pause_for(io_, interval - spent);
		}
	}

	asio::awaitable<void> member_keeper::read_all()
	{
		const auto rows_prefix = members_prefix(settings_);
		const auto interval = settings_.times.member_lease / (2 * renewals_per_lease);
		while (true)
		{
			const auto rows = co_await platform_.scan(rows_prefix, now() + settings_.times.member_lease);
			if (rows.ok())
			{
				const auto at = now();
				for (const auto& row : *rows)
				{
					const auto parsed = parse_json(row.data);
					if (!parsed.ok() || !parsed->is_object())
						continue;
					const auto& object = parsed->get_object();
					const member_id member{row.key.substr(rows_prefix.size())};
					note_member(members_, member,
								{row.token, text_or(object, "address"), {}, flag_or(object, "leaving")}, at);
					auto& usage = usage_of_[member];
					usage.clear();
					if (const auto* teams = object.if_contains("teams"); teams != nullptr && teams->is_object())
						for (const auto& item : teams->get_object())
							if (const auto* amounts = item.value().if_array();
								amounts != nullptr && amounts->size() == 3)
								usage[team_id{std::string{item.key()}}] = {amounts->at(0).to_number<std::int64_t>(),
																		   amounts->at(1).to_number<std::int64_t>(),
																		   amounts->at(2).to_number<std::int64_t>()};
				}
			}
			co_await pause_for(io_, interval);
		}
	}
}
