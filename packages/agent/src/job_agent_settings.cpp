// SPDX-License-Identifier: MIT
#include <trailjunction/agent/job_agent_settings.hpp>
#include <trailjunction/core/field_reader.hpp>
#include <trailjunction/net/program.hpp>

namespace trailjunction
{
	namespace
	{
		constexpr allowed_range time_range{100, 3'600'000};
	}

	absl::StatusOr<job_agent_settings> read_job_agent_settings(const boost::json::value& value)
	{
		job_agent_settings out;
		field_errors faults;
		field_reader reader{value, "", faults};
		for (const auto* name : {"mode", "worker", "data_centre", "listen", "store"})
			reader.require(name);
		std::string mode;
		reader.read("mode", mode);
		std::string worker;
		reader.read("worker", worker);
		out.worker = worker_id{worker};
		reader.read("data_centre", out.data_centre);
		reader.read_object("listen",
						   [&](field_reader& listen)
						   {
							   for (const auto* name : {"heartbeats", "links", "metrics"})
								   listen.require(name);
							   read_endpoint(listen, "heartbeats", out.heartbeats);
							   read_endpoint(listen, "links", out.links);
							   read_endpoint(listen, "metrics", out.metrics);
						   });
		read_endpoint(reader, "store", out.store);
		reader.read("longest_run_lease_ms", out.longest_run_lease, time_range);
		reader.read("harm_limit_ms", out.harm_limit, time_range);
		reader.read("stop_within_ms", out.stop_within, time_range);
		reader.finish();
		if (!faults.empty())
			return to_status(faults);
		return out;
	}
}
