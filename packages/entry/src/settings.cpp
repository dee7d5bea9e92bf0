// SPDX-License-Identifier: MIT
#include <trailjunction/core/field_reader.hpp>
#include <trailjunction/entry/settings.hpp>
#include <trailjunction/net/program.hpp>

#include <string>

namespace trailjunction
{
	namespace
	{
		constexpr allowed_range shard_range{1, 1'024};
		constexpr allowed_range write_range{1, 1'000};
		constexpr allowed_range time_range{100, 3'600'000};

		void read_peers(field_reader& reader, std::vector<endpoint>& out)
		{
			std::vector<std::string> texts;
			reader.read("peers", texts);
			for (const auto& text : texts)
				if (const auto peer = parse_endpoint(text); peer.ok())
					out.push_back(*peer);
				else
					reader.add_error("peers", std::string{peer.status().message()});
		}
	}

	absl::StatusOr<entry_settings> read_entry_settings(const boost::json::value& value)
	{
		entry_settings out;
		field_errors faults;
		field_reader reader{value, "", faults};
		for (const auto* name : {"member", "data_centre", "listen", "platform"})
			reader.require(name);
		std::string member;
		std::string data_centre;
		reader.read("member", member);
		reader.read("data_centre", data_centre);
		reader.read("region", out.region);
		out.member = member_id{member};
		out.data_centre = data_centre_id{data_centre};
		reader.read_object("listen",
						   [&](field_reader& listen)
						   {
							   for (const auto* name : {"callers", "operators"})
								   listen.require(name);
							   read_endpoint(listen, "callers", out.callers);
							   read_endpoint(listen, "operators", out.operators);
						   });
		read_endpoint(reader, "platform", out.platform);
		read_endpoint(reader, "collector", out.collector);
		read_peers(reader, out.peers);
		reader.read("shards", out.shards, shard_range);
		reader.read("writes_per_second", out.writes_per_second, write_range);
		read_times(reader, out.times);
		reader.read("stop_within_ms", out.stop_within, time_range);
		reader.finish();
		if (!faults.empty())
			return to_status(faults);
		return out;
	}
}
