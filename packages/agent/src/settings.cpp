// SPDX-License-Identifier: MIT
#include <trailjunction/agent/settings.hpp>
#include <trailjunction/core/field_reader.hpp>
#include <trailjunction/net/program.hpp>

namespace trailjunction
{
	namespace
	{
		constexpr allowed_range amount_range{0, 1'000'000'000};
		constexpr allowed_range time_range{100, 3'600'000};

		template <typename Id>
		void read_id(field_reader& reader, std::string_view name, Id& out)
		{
			std::string text;
			reader.read(name, text);
			out = Id{text};
		}
	}

	absl::StatusOr<agent_settings> read_agent_settings(const boost::json::value& value)
	{
		agent_settings out;
		field_errors faults;
		field_reader reader{value, "", faults};
		for (const auto* name : {"worker", "data_centre", "listen", "upstream", "platform"})
			reader.require(name);
		read_id(reader, "worker", out.worker);
		read_id(reader, "data_centre", out.data_centre);
		read_id(reader, "rack", out.rack);
		read_id(reader, "service", out.service);
		reader.read_object("listen",
						   [&](field_reader& listen)
						   {
							   for (const auto* name : {"requests", "control", "admin"})
								   listen.require(name);
							   read_endpoint(listen, "requests", out.requests);
							   read_endpoint(listen, "control", out.control);
							   read_endpoint(listen, "admin", out.admin);
						   });
		read_endpoint(reader, "upstream", out.upstream);
		read_endpoint(reader, "platform", out.platform);
		read_endpoint(reader, "collector", out.collector);
		reader.read_object("capacity",
						   [&](field_reader& capacity)
						   {
							   capacity.read("cpu", out.capacity.cpu_milli, amount_range);
							   capacity.read("memory", out.capacity.memory_mib, amount_range);
							   capacity.read("accelerators", out.capacity.accelerators, amount_range);
						   });
		read_times(reader, out.times);
		reader.read("stop_within_ms", out.stop_within, time_range);
		reader.read("checkpoint_every_ms", out.checkpoint_every, time_range);
		reader.finish();
		if (!faults.empty())
			return to_status(faults);
		return out;
	}
}
