// SPDX-License-Identifier: MIT
#include <trailjunction/core/json.hpp>
#include <trailjunction/core/random.hpp>
#include <trailjunction/testkit/cluster.hpp>

#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/array.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace trailjunction::testkit
{
	namespace asio = boost::asio;
	namespace json = boost::json;

	namespace
	{
		constexpr auto ready_timeout = millis{20'000};
		constexpr auto poll_interval = millis{10};
		constexpr std::size_t log_tail_bytes = 6'000;

		std::string read_file(const std::filesystem::path& path)
		{
			std::ifstream file{path};
			std::ostringstream text;
			text << file.rdbuf();
			return text.str();
		}

		std::string outcome_header(const http_result& result)
		{
			return std::string{find_header(result.response.headers, "Trailjunction-Outcome")};
		}

		void write_file(const std::string& path, const std::string& text)
		{
			std::ofstream{path} << text;
		}
	}

	cluster::cluster(cluster_options options) : options_{std::move(options)}
	{
		directory_ = (std::filesystem::temp_directory_path() / absl::StrCat("trailjunction-", random_token())).string();
		std::filesystem::create_directories(directory_);
		thread_.run(
			[this]
			{
				platform_ = std::make_unique<platform_standin>(thread_.io());
				platform_address_ = platform_->listen();
			});
		for (int i = 0; i < options_.agents; ++i)
			make_worker(i);
		for (int i = 0; i < options_.entries; ++i)
			make_entry(i, absl::StrCat("e", i + 1));
		for (int i = 0; i < options_.agents; ++i)
			start_agent(i);
		for (int i = 0; i < options_.entries; ++i)
			start_entry(i);
	}

	cluster::~cluster()
	{
		for (auto& entry : entries_)
			entry.process.kill();
		for (auto& worker : workers_)
			worker.agent.kill();
		thread_.stop();
		std::error_code ignored;
		if (std::getenv("TRAILJUNCTION_KEEP_LOGS") == nullptr)
			std::filesystem::remove_all(directory_, ignored);
	}

	void cluster::make_worker(int index)
	{
		cluster_worker worker;
		worker.name = absl::StrCat("w", index + 1);
		const auto requests = address_picker_.allocate();
		const auto control = address_picker_.allocate();
		worker.admin_address = address_picker_.allocate();
		platform_worker declared;
		declared.worker = worker_id{worker.name};
		declared.data_centre = data_centre_id{absl::StrCat("h", index % options_.data_centres + 1)};
		declared.rack = rack_id{options_.racks.empty() ? absl::StrCat("r", index / 3 + 1)
													   : options_.racks[static_cast<std::size_t>(index)]};
		declared.capacity = options_.capacity;
		endpoint upstream;
		endpoint platform;
		thread_.run(
			[&]
			{
				worker.upstream = std::make_unique<upstream_standin>(thread_.io());
				upstream = worker.upstream->listen();
				worker.upstream_address = upstream;
				worker.request_proxy = std::make_unique<fault_proxy>(thread_.io(), requests);
				declared.requests = to_string(options_.proxies ? worker.request_proxy->listen() : requests);
				worker.control_proxy = std::make_unique<fault_proxy>(thread_.io(), control);
				declared.control = to_string(options_.proxies ? worker.control_proxy->listen() : control);
				worker.platform_proxy = std::make_unique<fault_proxy>(thread_.io(), platform_address_);
				platform = worker.platform_proxy->listen();
				platform_->add_worker(declared);
			});
		worker.settings_file = absl::StrCat(directory_, "/", worker.name, ".json");
		json::object settings;
		settings["worker"] = worker.name;
		settings["data_centre"] = declared.data_centre.str();
		settings["rack"] = declared.rack.str();
		settings["service"] = "tally";
		settings["listen"] = {{"requests", to_string(requests)},
							  {"control", to_string(control)},
							  {"admin", to_string(worker.admin_address)}};
		settings["upstream"] = to_string(upstream);
		settings["platform"] = to_string(platform);
		settings["capacity"] = {{"cpu", options_.capacity.cpu_milli}, {"memory", options_.capacity.memory_mib}};
		settings["checkpoint_every_ms"] = options_.checkpoint_interval.count();
		settings["times"] = parse_json(absl::StrCat("{", options_.times_json, "}")).value();
		write_file(worker.settings_file, json::serialize(settings));
		workers_.push_back(std::move(worker));
	}

	void cluster::make_entry(int index, const std::string& member)
	{
		cluster_entry entry;
		entry.name = absl::StrCat("e", index + 1);
		entry.caller_address = address_picker_.allocate();
		entry.operator_address = address_picker_.allocate();
		endpoint platform;
		thread_.run(
			[&]
			{
				entry.platform_proxy = std::make_unique<fault_proxy>(thread_.io(), platform_address_);
				platform = entry.platform_proxy->listen();
			});
		entry.settings_file = absl::StrCat(directory_, "/", entry.name, ".json");
		json::object settings;
		settings["member"] = member;
		settings["data_centre"] = absl::StrCat("h", index % options_.data_centres + 1);
		settings["listen"] = {{"callers", to_string(entry.caller_address)},
							  {"operators", to_string(entry.operator_address)}};
		settings["platform"] = to_string(platform);
		settings["shards"] = options_.shards;
		settings["writes_per_second"] = options_.writes_per_second;
		settings["times"] = parse_json(absl::StrCat("{", options_.times_json, "}")).value();
		json::array peers;
		for (const auto& peer : operator_addresses_)
			peers.emplace_back(peer);
		settings["peers"] = std::move(peers);
		operator_addresses_.push_back(to_string(entry.operator_address));
		write_file(entry.settings_file, json::serialize(settings));
		entries_.push_back(std::move(entry));
	}

	void cluster::start_entry(int index)
	{
		auto& entry = entries_[static_cast<std::size_t>(index)];
		entry.process = child_process{
			{options_.programs + "/packages/entry/trailjunction", "entry", "--settings", entry.settings_file},
			absl::StrCat(directory_, "/", entry.name, ".log")};
	}

	int cluster::start_duplicate_member(int entry)
	{
		const int index = entry_count();
		make_entry(index, entries_[static_cast<std::size_t>(entry)].name);
		start_entry(index);
		return index;
	}

	void cluster::start_agent(int index)
	{
		auto& worker = workers_[static_cast<std::size_t>(index)];
		worker.agent = child_process{
			{options_.programs + "/packages/agent/trailjunction-agent", "--settings", worker.settings_file},
			absl::StrCat(directory_, "/", worker.name, ".log")};
	}

	cluster_worker& cluster::worker(const std::string& name)
	{
		for (auto& candidate : workers_)
			if (candidate.name == name)
				return candidate;
		throw std::out_of_range("no worker " + name);
	}

	http_result cluster::send_to(const endpoint& address, http_request message, millis timeout)
	{
		http_result result;
		asio::io_context io;
		http_client client{io, address, 1};
		const auto send = [&]() -> asio::awaitable<void>
		{
			result = co_await client.send(std::move(message), boottime_now() + timeout);
		};
		asio::co_spawn(io, send, asio::detached);
		io.run();
		return result;
	}

	http_result cluster::request(int entry, http_request message, millis timeout)
	{
		return send_to(entries_[static_cast<std::size_t>(entry)].caller_address, std::move(message), timeout);
	}

	command_response cluster::command(int entry, const std::string& text, const std::string& id)
	{
		json::object body;
		body["command"] = text;
		body["id"] = id.empty() ? random_token() : id;
		http_request message{"POST", "/v1/command", {}, json::serialize(body)};
		const auto result =
			send_to(entries_[static_cast<std::size_t>(entry)].operator_address, std::move(message), millis{15'000});
		if (result.delivery != delivery_status::answered)
			return {0, std::string{result.status.message()}, {}};
		command_response answer{result.response.status, result.response.body, {}};
		if (auto parsed = parse_json(result.response.body); parsed.ok() && parsed->is_object())
			answer.body = parsed->get_object();
		return answer;
	}

	std::string cluster::task_field(const std::string& task, const std::string& field)
	{
		for (int i = 0; i < entry_count(); ++i)
		{
			if (!entry(i).process.running())
				continue;
			const auto answer = command(i, "show tasks where task = \"" + task + "\"");
			const auto* table = answer.body.if_contains("table");
			if (table == nullptr)
				continue;
			const auto& columns = table->as_object().at("columns").as_array();
			const auto& rows = table->as_object().at("rows").as_array();
			for (std::size_t column = 0; column < columns.size() && !rows.empty(); ++column)
				if (columns[column].as_string() == field)
					return std::string{rows[0].as_array()[column].as_string()};
		}
		return "";
	}

	bool cluster::wait_until(const std::function<bool()>& check, millis timeout)
	{
		const auto until = boottime_now() + timeout;
		while (boottime_now() < until)
		{
			if (check())
				return true;
			std::this_thread::sleep_for(poll_interval);
		}
		return check();
	}

	bool cluster::wait_ready()
	{
		const auto ready = [this](const endpoint& address)
		{
			const auto result = send_to(address, {"GET", "/readyz", {}, ""}, millis{500});
			return result.delivery == delivery_status::answered && result.response.status == 200;
		};
		return wait_until(
			[&]
			{
				for (auto& worker : workers_)
					if (!ready(worker.admin_address))
						return false;
				for (auto& entry : entries_)
					if (!ready(entry.operator_address))
						return false;
				for (int i = 0; i < entry_count(); ++i)
					if (outcome_header(request(i, {"GET", "/tally/ready", {}, ""})) != "done")
						return false;
				const auto shards = command(0, "show shards where standing = owned");
				const auto workers = command(0, "show workers where ready = yes");
				const auto rows = [](const command_response& answer) -> std::size_t
				{
					const auto* table = answer.body.if_contains("table");
					return table == nullptr ? 0 : table->as_object().at("rows").as_array().size();
				};
				return rows(shards) == static_cast<std::size_t>(options_.shards) && rows(workers) == workers_.size();
			},
			ready_timeout);
	}

	void cluster::set_faults(const std::function<void(platform_faults&)>& change)
	{
		thread_.run([&] { change(platform_->faults()); });
	}

	std::vector<run_event> cluster::events()
	{
		return thread_.run([this] { return platform_->events(); });
	}

	std::vector<std::string> cluster::violations()
	{
		return thread_.run([this] { return platform_->violations(); });
	}

	std::string cluster::logs() const
	{
		std::string text;
		for (const auto& file : std::filesystem::directory_iterator(directory_))
		{
			if (file.path().extension() != ".log")
				continue;
			const auto log = read_file(file.path());
			absl::StrAppend(&text, "--- ", file.path().filename().string(), "\n",
							log.substr(log.size() - std::min(log.size(), log_tail_bytes)));
		}
		return text;
	}
}
