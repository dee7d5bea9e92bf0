// SPDX-License-Identifier: MIT
#include "member_keeper.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/core/json.hpp>
#include <trailjunction/core/random.hpp>
#include <trailjunction/net/coroutines.hpp>

#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace trailjunction
{
	namespace asio = boost::asio;
	namespace json = boost::json;

	namespace
	{
		constexpr std::string_view prefix = "members/";
		constexpr int renewals_per_lease = 3;

		json::array to_json(const resources& amounts)
		{
			return {amounts.cpu_milli, amounts.memory_mib, amounts.accelerators};
		}

		/// Upper bound of an amount in a row: far above that of any fleet, and sums of rows do not overflow.
		constexpr std::int64_t max_amount = 1'000'000'000'000;

		bool is_amount(const json::value& value)
		{
			boost::system::error_code error;
			const auto amount = value.to_number<std::int64_t>(error);
			return !error && amount >= 0 && amount <= max_amount;
		}

		/// Whether a value lists the three amounts of an account.
		bool lists_amounts(const json::value& value)
		{
			const auto* list = value.if_array();
			return list != nullptr && list->size() == 3 && std::all_of(list->begin(), list->end(), is_amount);
		}

		/// The amounts by account in a member of a row. Those that cannot be read are left out.
		/// \param complete Is set to false if any are left out.
		account_amounts amounts_at(const json::object& object, std::string_view name, bool& complete)
		{
			account_amounts amounts;
			const auto* accounts = object.if_contains(name);
			if (accounts == nullptr || !accounts->is_object())
				return amounts;
			for (const auto& item : accounts->get_object())
			{
				if (!lists_amounts(item.value()))
				{
					complete = false;
					continue;
				}
				const auto& list = item.value().get_array();
				amounts[account_id{std::string{item.key()}}] = {list[0].to_number<std::int64_t>(),
																list[1].to_number<std::int64_t>(),
																list[2].to_number<std::int64_t>()};
			}
			return amounts;
		}

		std::string members_prefix(const entry_settings& settings)
		{
			return absl::StrCat(std::string{prefix}, settings.region, "/");
		}

	}

	member_keeper::member_keeper(asio::io_context& io, const entry_settings& settings, platform_client& platform,
								 incarnation own_incarnation, need_source needs)
		: io_{io},
		  settings_{settings},
		  platform_{platform},
		  incarnation_{own_incarnation},
		  needs_{std::move(needs)},
		  random_{random_u64()}
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
		return !superseded_ && trailjunction::may_own(last_renewal_began_, settings_.times, at);
	}

	std::vector<member_id> member_keeper::live(instant at) const
	{
		return live_members(members_, settings_.times, at);
	}

	resources member_keeper::used_elsewhere(const account_id& account) const
	{
		resources sum;
		for (const auto& [member, usage] : usage_by_member_)
			if (const auto found = usage.find(account); found != usage.end())
				sum += found->second;
		return sum;
	}

	// ------------------------------------------------------------------ quotas

	void member_keeper::configure(const config_document& document)
	{
		quotas_.clear();
		for (const auto& [account, declared] : document.accounts)
			quotas_[account] = declared.quota;
		absl::erase_if(shares_, [this](const auto& item) { return !quotas_.contains(item.first); });
	}

	std::optional<resources> member_keeper::usable_quota(const account_id& account) const
	{
		if (!quotas_.contains(account))
			return std::nullopt;
		const auto share = shares_.find(account);
		return share == shares_.end() ? resources{} : share->second.usable;
	}

	resources member_keeper::published_elsewhere(const account_id& account) const
	{
		resources sum;
		for (const auto& [member, ceilings] : ceilings_by_member_)
			if (const auto found = ceilings.find(account); found != ceilings.end())
				sum += found->second;
		return sum;
	}

	void member_keeper::choose_ceilings()
	{
		const auto needs = needs_();
		const auto members = live(boottime_now()).size();
		for (const auto& [account, quota] : quotas_)
		{
			const auto need = needs.find(account);
			const auto wanted = need == needs.end() ? quota_need{} : need->second;
			used_[account] = wanted.used;
			publish_ceiling(shares_[account],
							next_ceiling(wanted, quota, published_elsewhere(account), members, random_));
		}
	}

	void member_keeper::verify_ceilings(instant read_at)
	{
		// Only rows read after this entry's own row was written prove that the other members have taken it into account
		// or will do so.
		if (published_at_ == instant{} || read_at < published_at_)
			return;
		for (auto& [account, share] : shares_)
			verify_ceiling(share, quotas_.at(account), published_elsewhere(account));
	}

	// ------------------------------------------------------------------ rows

	std::string member_keeper::row_data() const
	{
		json::object ceilings;
		json::object used;
		for (const auto& [account, share] : shares_)
			if (share.published != resources{})
				ceilings[account.str()] = to_json(share.published);
		for (const auto& [account, amounts] : used_)
			if (amounts != resources{})
				used[account.str()] = to_json(amounts);
		json::object out;
		out["address"] = to_string(*settings_.operators);
		out["life"] = incarnation_.value;
		out["leaving"] = leaving_;
		out["ceilings"] = std::move(ceilings);
		out["used"] = std::move(used);
		return json::serialize(out);
	}

	/// Before the first write the row belongs to an earlier incarnation and is taken over. Later, a row of another
	/// incarnation means that this process was replaced, perhaps while it was suspended. Two processes with one member
	/// name must not both own shards.
	void member_keeper::note_conflict(const table_row& row)
	{
		version_ = row.version;
		const auto parsed = parse_json(row.data);
		const auto row_incarnation = parsed.ok() && parsed->is_object() ? number_or(parsed->get_object(), "life") : 0;
		superseded_ = has_written_row_ && row_incarnation != static_cast<std::int64_t>(incarnation_.value);
		if (!superseded_)
			return;
		log_event(event::member_superseded, {{"member", settings_.member.str()}});
		if (step_down_)
			step_down_();
	}

	asio::awaitable<void> member_keeper::renew()
	{
		const auto key = absl::StrCat(members_prefix(settings_), settings_.member.str());
		const auto interval = settings_.times.member_lease / renewals_per_lease;
		while (!superseded_)
		{
			const auto began_at = boottime_now();
			published_at_ = {};
			choose_ceilings();
			const auto result = co_await platform_.put(key, row_data(), version_, random_token(),
													   began_at + settings_.times.member_lease);
			if (result.outcome == write_outcome::applied)
			{
				// The lease is unbroken only if the answer arrived within the lease: the write took effect before its
				// answer, so no other member can have seen the row unchanged for a whole lease.
				const bool unbroken = boottime_now() < last_renewal_began_ + settings_.times.member_lease;
				if (!unbroken)
				{
					++lapses_;
					log_event(event::member_renewed_late, {{"member", settings_.member.str()}});
					if (step_down_)
						step_down_();
				}
				version_ = result.row.version;
				has_written_row_ = true;
				last_renewal_began_ = began_at;
				published_at_ = boottime_now();
			}
			else if (result.outcome == write_outcome::conflict)
			{
				note_conflict(result.row);
				continue;
			}
			else
			{
				const auto row = co_await platform_.get(key, boottime_now() + interval);
				if (row.ok())
					version_ = row->version;
			}
			const auto elapsed = std::chrono::duration_cast<millis>(boottime_now() - began_at);
			if (elapsed < interval)
				co_await pause_for(io_, interval - elapsed);
		}
	}

	void member_keeper::apply_row(const table_row& row, const member_id& member, instant at)
	{
		const auto parsed = parse_json(row.data);
		if (!parsed.ok() || !parsed->is_object())
		{
			note_readable(member, false);
			return;
		}
		const auto& object = parsed->get_object();
		record_member(members_, member, {row.token, text_or(object, "address"), {}, flag_or(object, "leaving")}, at);
		if (member == settings_.member)
			return;
		// The runs of a lapsed member belong to the member that takes its shards, and count there.
		const bool lapsed = lease_expired(members_.at(member), settings_.times, at);
		bool complete = true;
		ceilings_by_member_[member] = lapsed ? account_amounts{} : amounts_at(object, "ceilings", complete);
		usage_by_member_[member] = lapsed ? account_amounts{} : amounts_at(object, "used", complete);
		note_readable(member, complete);
	}

	void member_keeper::note_readable(const member_id& member, bool readable)
	{
		if (readable)
			unreadable_members_.erase(member);
		else if (unreadable_members_.insert(member).second)
			log_event(event::row_unreadable, {{"member", member.str()}, {"reason", "not the row of a member"}});
	}

	asio::awaitable<void> member_keeper::read_all()
	{
		const auto rows_prefix = members_prefix(settings_);
		const auto interval = settings_.times.member_lease / (2 * renewals_per_lease);
		while (true)
		{
			const auto asked_at = boottime_now();
			const auto rows = co_await platform_.scan(rows_prefix, asked_at + settings_.times.member_lease);
			if (rows.ok())
			{
				const auto at = boottime_now();
				for (const auto& row : *rows)
					apply_row(row, member_id{row.key.substr(rows_prefix.size())}, at);
				verify_ceilings(asked_at);
			}
			co_await pause_for(io_, interval);
		}
	}
}
