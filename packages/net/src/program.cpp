// SPDX-License-Identifier: MIT
#include <trailjunction/core/event.hpp>
#include <trailjunction/core/json.hpp>
#include <trailjunction/net/coroutines.hpp>
#include <trailjunction/net/program.hpp>

#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
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
			reader.add_error(name, std::string{parsed.status().message()});
	}

	namespace
	{
		constexpr auto poll_interval = std::chrono::seconds{2};
		/// Shorter differences are ignored: the two clocks are not read at the same instant, and the process may be
		/// descheduled in between.
		constexpr auto min_suspension = millis{20};

		boost::asio::awaitable<void> watch_suspensions(boost::asio::io_context& io)
		{
			auto logged = total_suspended_time();
			while (true)
			{
				co_await pause_for(io, poll_interval);
				const auto duration = total_suspended_time() - logged;
				if (duration < min_suspension)
					continue;
				logged += duration;
				log_event(event::instance_suspended,
						  {{"suspended_ms", std::chrono::duration_cast<millis>(duration).count()}});
			}
		}

		/// Watches the settings file for as long as its io_context runs.
		class settings_watcher : public std::enable_shared_from_this<settings_watcher>
		{
		public:
			settings_watcher(boost::asio::io_context& io, std::string path, std::function<void()> changed)
				: signals_{io, SIGHUP},
				  timer_{io},
				  path_{std::move(path)},
				  changed_{std::move(changed)},
				  last_seen_write_{last_write()}
			{
			}

			void wait_for_signal()
			{
				signals_.async_wait(
					[self = shared_from_this()](const boost::system::error_code& error, int)
					{
						if (error)
							return;
						self->last_seen_write_ = self->last_write();
						self->changed_();
						self->wait_for_signal();
					});
			}

			void schedule_poll()
			{
				timer_.expires_after(poll_interval);
				timer_.async_wait(
					[self = shared_from_this()](const boost::system::error_code& error)
					{
						if (error)
							return;
						if (const auto written = self->last_write(); written != self->last_seen_write_)
						{
							self->last_seen_write_ = written;
							self->changed_();
						}
						self->schedule_poll();
					});
			}

		private:
			/// Time of the last modification. A missing file has the earliest time, so that its reappearance counts as
			/// a change.
			[[nodiscard]] std::filesystem::file_time_type last_write() const
			{
				std::error_code error;
				const auto time = std::filesystem::last_write_time(path_, error);
				return error ? std::filesystem::file_time_type::min() : time;
			}

			boost::asio::signal_set signals_;
			boost::asio::steady_timer timer_;
			std::string path_;
			std::function<void()> changed_;
			std::filesystem::file_time_type last_seen_write_;
		};
	}

	void on_settings_change(boost::asio::io_context& io, const std::string& path, std::function<void()> changed)
	{
		const auto watcher = std::make_shared<settings_watcher>(io, path, std::move(changed));
		watcher->wait_for_signal();
		watcher->schedule_poll();
	}

	void log_suspensions(boost::asio::io_context& io)
	{
		boost::asio::co_spawn(io, watch_suspensions(io), boost::asio::detached);
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
