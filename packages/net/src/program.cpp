// SPDX-License-Identifier: MIT
#include <trailjunction/core/json.hpp>
#include <trailjunction/net/program.hpp>

#include <absl/strings/str_cat.h>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <sstream>

namespace trailjunction
{
	absl::StatusOr<boost::json::value> read_settings_file(const std::string& path)
	{
		std::ifstream file{path, std::ios::binary};
		std::ostringstream text;
		if (!file || !(text << file.rdbuf()))
			return absl::NotFoundError(absl::StrCat(path, ": cannot be read"));
		auto value = parse_json(text.str());
		if (!value.ok())
			return absl::InvalidArgumentError(absl::StrCat(path, ": ", value.status().message()));
		return value;
	}

	void read_endpoint(field_reader& reader, std::string_view name, std::optional<endpoint>& out)
	{
		std::string text;
		reader.read(name, text);
		if (text.empty())
			return;
		const auto parsed = parse_endpoint(text);
		if (parsed.ok())
			out = *parsed;
		else
			reader.fault(name, std::string{parsed.status().message()});
	}

	void on_stop_signal(boost::asio::io_context& io, std::function<void()> stop)
	{
		const auto signals = std::make_shared<boost::asio::signal_set>(io, SIGTERM, SIGINT);
		signals->async_wait(
			[signals, stop = std::move(stop)](const boost::system::error_code& error, int)
			{
				if (error)
					return;
				stop();
				signals->async_wait(
					[signals](const boost::system::error_code& second, int)
					{
						if (!second)
							std::_Exit(static_cast<int>(exit_code::failed));
					});
			});
	}
}
