// SPDX-License-Identifier: MIT
#include <trailjunction/core/field_reader.hpp>
#include <trailjunction/entry/job_entry_settings.hpp>
#include <trailjunction/net/program.hpp>

#include <algorithm>

namespace trailjunction
{
	namespace
	{
		constexpr allowed_range time_range{100, 3'600'000};
		constexpr allowed_range row_bytes_range{4'096, 1'000'000};
		constexpr double min_processors = 0.001;
		constexpr double max_processors = 10'000.0;

		/// The lease is at most half of the contact time, so that a dead owner is replaced while the fault still counts
		/// as short.
		constexpr int leases_per_contact_time = 2;
		/// The upper limit of the lease, since jobs wait for their first task while a dead owner holds its lease. It
		/// allows four renewals even if the store answers 60 times slower than usual (0.24 s).
		constexpr auto max_lease = millis{1'500};
		/// Runs survive a fault of this many contact times, if the worker allows it.
		constexpr int contact_times_per_run_lease = 2;
		constexpr int observations_per_lease = 3;

		constexpr double min_calls_per_s = 0.1;
		constexpr double max_calls_per_s = 10'000.0;
		constexpr double min_upkeep_s = 0.1;
		constexpr double max_upkeep_s = 86'400.0;

		void read_upkeep(field_reader& reader, upkeep_settings& out)
		{
			reader.require("service");
			read_endpoint(reader, "service", out.service);
			reader.read("calls_per_s", out.calls_per_s, min_calls_per_s, max_calls_per_s);
			reader.read("reads_per_s", out.reads_per_s, min_calls_per_s, max_calls_per_s);
			reader.read("lasts_s", out.lasts_s, min_upkeep_s, max_upkeep_s);
			reader.read("fences_checked", out.fences_checked);
		}

		bool same_upkeep_service(const job_entry_settings& left, const job_entry_settings& right)
		{
			if (!left.upkeep || !right.upkeep)
				return left.upkeep.has_value() == right.upkeep.has_value();
			return left.upkeep->service == right.upkeep->service &&
				   left.upkeep->fences_checked == right.upkeep->fences_checked;
		}
	}

	absl::StatusOr<job_entry_settings> read_job_entry_settings(const boost::json::value& value)
	{
		job_entry_settings out;
		field_errors faults;
		field_reader reader{value, "", faults};
		for (const auto* name : {"mode", "member", "data_centre", "listen", "store"})
			reader.require(name);
		std::string mode;
		reader.read("mode", mode);
		std::string member;
		reader.read("member", member);
		out.member = member_id{member};
		reader.read("data_centre", out.data_centre);
		reader.read_object("listen",
						   [&](field_reader& listen)
						   {
							   for (const auto* name : {"callers", "readiness", "metrics"})
								   listen.require(name);
							   read_endpoint(listen, "callers", out.callers);
							   read_endpoint(listen, "readiness", out.readiness);
							   read_endpoint(listen, "metrics", out.metrics);
						   });
		read_endpoint(reader, "store", out.store);
		reader.read_object("limits",
						   [&](field_reader& limits)
						   {
							   double share = 1.0;
							   double cores = 1.0;
							   limits.read("processor_share", share, min_processors, max_processors);
							   limits.read("processors", cores, min_processors, max_processors);
							   out.processors = share * cores;
						   });
		auto row_bytes = static_cast<std::int64_t>(out.store_limits.value_bytes);
		reader.read("store_row_bytes", row_bytes, row_bytes_range);
		out.store_limits.value_bytes = static_cast<std::size_t>(row_bytes);
		reader.read("contact_ms", out.contact, time_range);
		reader.read("longest_run_lease_ms", out.longest_run_lease, time_range);
		reader.read("evacuate_within_ms", out.evacuate_within, time_range);
		reader.read("status_kept_ms", out.status_kept, time_range);
		reader.read("stop_within_ms", out.stop_within, time_range);
		reader.read("forecast_room", out.forecast_room);
		if (value.is_object() && value.get_object().contains("upkeep"))
			reader.read_object("upkeep", [&](field_reader& upkeep) { read_upkeep(upkeep, out.upkeep.emplace()); });
		reader.finish();
		if (!faults.empty())
			return to_status(faults);
		return out;
	}

	bool can_reload(const job_entry_settings& left, const job_entry_settings& right) noexcept
	{
		return left.member == right.member && left.data_centre == right.data_centre && left.callers == right.callers &&
			   left.readiness == right.readiness && left.metrics == right.metrics && left.store == right.store &&
			   left.store_limits.value_bytes == right.store_limits.value_bytes && left.contact == right.contact &&
			   left.longest_run_lease == right.longest_run_lease && left.evacuate_within == right.evacuate_within &&
			   left.forecast_room == right.forecast_room && same_upkeep_service(left, right);
	}

	ownership_times ownership_times_of(const job_entry_settings& settings) noexcept
	{
		ownership_times out;
		out.lease = std::min(max_lease, settings.contact / leases_per_contact_time);
		out.observe_every = 2 * out.lease / 3;
		out.observe_again_after = out.lease / observations_per_lease;
		out.takeover_delay = takeover_delay_for(settings.processors);
		return out;
	}

	run_lease_times run_lease_times_of(const job_entry_settings& settings) noexcept
	{
		run_lease_times out;
		out.lease = std::min(settings.longest_run_lease, contact_times_per_run_lease * settings.contact);
		return out;
	}
}
