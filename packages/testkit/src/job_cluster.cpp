// SPDX-License-Identifier: MIT
#include <trailjunction/core/json.hpp>
#include <trailjunction/core/random.hpp>
#include <trailjunction/jobs/job_rows.hpp>
#include <trailjunction/jobs/job_tables.hpp>
#include <trailjunction/net/coroutines.hpp>
#include <trailjunction/testkit/job_cluster.hpp>

#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace trailjunction::testkit
{
	namespace asio = boost::asio;
	namespace json = boost::json;

	namespace
	{
		constexpr auto ready_timeout = millis{20'000};
		constexpr auto call_timeout = millis{5'000};
		constexpr auto poll_interval = millis{10};
		constexpr auto row_poll_interval = millis{2};
		constexpr std::size_t log_tail_bytes = 6'000;
		/// Run time of a long-running task, which no test reaches.
		constexpr const char* long_running_work_ms = "600000";
		constexpr const char* host = "jobs.example";
		constexpr const char* prefix = "/merges/";
		constexpr const char* readiness_job = "00000000000000ff"; // submitted by wait_ready()

		const char* configuration = R"({"version":1,"routes":[{"name":"merges","host":"jobs.example",
"pathPrefix":"/merges/","timeoutMs":3000,"targetLatencyMs":250,"priority":0,"service":"tally","maxAttempts":2,
"stretch":1.5}],"services":[{"name":"tally"}],"limits":{"maxBodyBytes":262144}})";

		int status_of(const http_result& result)
		{
			return result.delivery == delivery_status::answered ? result.response.status : 0;
		}

		void write_file(const std::string& path, const json::object& value)
		{
			std::ofstream{path} << json::serialize(value);
		}
	}

	job_cluster::job_cluster(job_cluster_options options) : options_{std::move(options)}
	{
		directory_ = (std::filesystem::temp_directory_path() / absl::StrCat("trailjunction-", random_token())).string();
		std::filesystem::create_directories(directory_);
		thread_.run(
			[this]
			{
				store_standin_ = std::make_unique<rows_standin>(thread_.io());
				store_address_ = store_standin_->listen();
				store_standin_->store.put("", "op", "config", configuration);
				instances_ = std::make_unique<instances_standin>(thread_.io());
				instances_address_ = instances_->listen();
			});
		for (int i = 0; i < options_.workers; ++i)
			make_worker(i);
		for (int i = 0; i < options_.entries; ++i)
			make_entry(i);
		thread_.run([this] { asio::co_spawn(thread_.io(), redirect_links_to_proxies(), asio::detached); });
		for (auto* processes : {&agents_, &entries_})
			for (auto& process : *processes)
				process.process = std::make_unique<child_process>(process.command_line, process.log_file);
	}

	job_cluster::~job_cluster()
	{
		for (auto* processes : {&agents_, &entries_})
			for (auto& process : *processes)
				process.process->kill();
		thread_.stop();
		std::error_code ignored;
		if (std::getenv("TRAILJUNCTION_KEEP_LOGS") == nullptr)
			std::filesystem::remove_all(directory_, ignored);
	}

	endpoint job_cluster::make_proxy(proxied_connection kind, int index, endpoint target)
	{
		if (!options_.proxies)
			return target;
		return thread_.run(
			[&]
			{
				auto& proxy = proxies_[{kind, index}];
				proxy = std::make_unique<fault_proxy>(thread_.io(), target);
				return proxy->listen();
			});
	}

	asio::awaitable<void> job_cluster::redirect_links_to_proxies()
	{
		while (true)
		{
			for (const auto& [agent, row] : proxied_agent_rows_)
				if (const auto now = store_standin_->store.value(agent_partition, agents_table, agent);
					!now.empty() && now != row)
					store_standin_->store.put(agent_partition, agents_table, agent, row);
			co_await pause_for(thread_.io(), row_poll_interval);
		}
	}

	void job_cluster::make_worker(int index)
	{
		process_state agent;
		const auto name = absl::StrCat("agent-", index + 1);
		const auto heartbeats = address_picker_.allocate();
		agent.settings_path = absl::StrCat(directory_, "/", name, ".json");
		agent.log_file = absl::StrCat(directory_, "/", name, ".log");
		const auto links = address_picker_.allocate();
		stored::agent row;
		row.address = to_string(make_proxy(proxied_connection::agent_links, index, links));
		row.data_centre = absl::StrCat("dc", index % options_.data_centres + 1);
		if (options_.proxies)
			thread_.run([&] { proxied_agent_rows_[name] = encode_agent(row); });
		json::object settings{{"mode", "jobs"},
							  {"worker", name},
							  {"data_centre", row.data_centre},
							  {"store", to_string(make_proxy(proxied_connection::agent_store, index, store_address_))}};
		settings["longest_run_lease_ms"] = options_.longest_lease.count();
		settings["listen"] = {{"heartbeats", to_string(heartbeats)},
							  {"links", to_string(links)},
							  {"metrics", to_string(address_picker_.allocate())}};
		write_file(agent.settings_path, settings);
		agent.command_line = {options_.programs + "/packages/agent/trailjunction-agent", "--settings",
							  agent.settings_path};
		agents_.push_back(std::move(agent));
		const auto worker_address = thread_.run(
			[&]
			{
				workers_.push_back(std::make_unique<worker_standin>(thread_.io(), absl::StrCat("life-", index + 1),
																	"tally", heartbeats));
				workers_.back()->longest_lease = options_.longest_lease;
				instances_->add(absl::StrCat("machine-", index + 1), *workers_.back());
				return workers_.back()->listen();
			});
		const auto announced = make_proxy(proxied_connection::worker_calls, index, worker_address);
		thread_.run([&] { workers_.back()->start_heartbeats(announced); });
	}

	void job_cluster::make_entry(int index)
	{
		process_state entry;
		const auto name = absl::StrCat("entry-", index + 1);
		entry.caller_address = address_picker_.allocate();
		entry.settings_path = absl::StrCat(directory_, "/", name, ".json");
		entry.log_file = absl::StrCat(directory_, "/", name, ".log");
		json::object settings{{"mode", "jobs"},
							  {"member", name},
							  {"data_centre", "dc1"},
							  {"store", to_string(make_proxy(proxied_connection::entry_store, index, store_address_))},
							  {"contact_ms", options_.contact_time.count()},
							  {"longest_run_lease_ms", options_.longest_lease.count()}};
		settings["listen"] = {{"callers", to_string(entry.caller_address)},
							  {"readiness", to_string(address_picker_.allocate())},
							  {"metrics", to_string(address_picker_.allocate())}};
		if (options_.has_upkeep_service)
			settings["upkeep"] = {{"service", to_string(instances_address_)}, {"lasts_s", 0.8}, {"reads_per_s", 40.0}};
		write_file(entry.settings_path, settings);
		entry.command_line = {options_.programs + "/packages/entry/trailjunction", "entry", "--settings",
							  entry.settings_path};
		entries_.push_back(std::move(entry));
	}

	http_result job_cluster::call(int entry, const std::string& method, const std::string& path,
								  const std::string& body)
	{
		asio::io_context io{1};
		http_client client{io, entries_[static_cast<std::size_t>(entry)].caller_address};
		http_request request{method, prefix + path, {{"Host", host}, {"Content-Type", "application/json"}}, body};
		http_result result;
		asio::co_spawn(
			io,
			[&]() -> asio::awaitable<void>
			{ result = co_await client.send(std::move(request), boottime_now() + call_timeout); },
			asio::detached);
		io.run();
		return result;
	}

	int job_cluster::submit(int entry, const std::string& id, int tasks, millis work)
	{
		const auto body = json::serialize(json::object{
			{"spec", absl::StrCat(work.count())},
			{"phases",
			 json::array{json::object{{"count", tasks}, {"cpu", 500}, {"memMb", 256}, {"estimateMs", work.count()}}}}});
		return status_of(call(entry, "POST", id, body));
	}

	int job_cluster::submit_long_running(int entry, const std::string& id, int tasks)
	{
		const auto body = json::serialize(json::object{
			{"spec", long_running_work_ms},
			{"phases",
			 json::array{json::object{{"count", tasks}, {"cpu", 500}, {"memMb", 256}, {"longRunning", true}}}}});
		return status_of(call(entry, "POST", id, body));
	}

	std::string job_cluster::state(int entry, const std::string& id)
	{
		const auto result = call(entry, "GET", id, "");
		const auto parsed = parse_json(result.response.body);
		return parsed.ok() && parsed->is_object() ? text_or(parsed->get_object(), "state") : std::string{};
	}

	int job_cluster::cancel(int entry, const std::string& id)
	{
		return status_of(call(entry, "DELETE", id, ""));
	}

	bool job_cluster::wait_until(const std::function<bool()>& check, millis timeout)
	{
		const auto until = boottime_now() + timeout;
		while (!check())
		{
			if (boottime_now() >= until)
				return false;
			std::this_thread::sleep_for(poll_interval);
		}
		return true;
	}

	bool job_cluster::wait_ready()
	{
		return wait_until(
			[this]
			{
				for (int i = 0; i < options_.entries; ++i)
					if (submit(i, readiness_job, 1, millis{0}) != 200)
						return false;
				return state(0, readiness_job) == "completed";
			},
			ready_timeout);
	}

	void job_cluster::restart_entry(int index)
	{
		auto& process = entries_[static_cast<std::size_t>(index)];
		process.process->kill();
		process.process = std::make_unique<child_process>(process.command_line, process.log_file);
	}

	void job_cluster::restart_agent(int index)
	{
		auto& process = agents_[static_cast<std::size_t>(index)];
		process.process->kill();
		process.process = std::make_unique<child_process>(process.command_line, process.log_file);
	}

	int job_cluster::owner()
	{
		const auto value =
			with_store([](memory_store& store) { return store.value(job_partition, owner_table, owner_key); });
		const auto row = decode_ownership(value);
		if (value.empty() || !row.ok())
			return -1;
		for (int i = 0; i < options_.entries; ++i)
			if (row->member == absl::StrCat("entry-", i + 1))
				return i;
		return -1;
	}

	std::vector<worker_standin::started_run> job_cluster::all_started_runs()
	{
		return thread_.run(
			[this]
			{
				std::vector<worker_standin::started_run> out;
				for (const auto& worker : workers_)
				{
					worker->record_ends(boottime_now());
					out.insert(out.end(), worker->started_runs.begin(), worker->started_runs.end());
				}
				return out;
			});
	}

	std::vector<worker_standin::recorded_call> job_cluster::run_orders()
	{
		return thread_.run(
			[this]
			{
				std::vector<worker_standin::recorded_call> out;
				for (const auto& worker : workers_)
					out.insert(out.end(), worker->recorded_calls.begin(), worker->recorded_calls.end());
				return out;
			});
	}

	int job_cluster::start_count(const std::string& task)
	{
		const auto all = all_started_runs();
		return static_cast<int>(std::count_if(
			all.begin(), all.end(), [&](const worker_standin::started_run& run) { return run.task == task; }));
	}

	std::string job_cluster::logs() const
	{
		std::string out;
		for (const auto* processes : {&agents_, &entries_})
			for (const auto& process : *processes)
			{
				std::ostringstream text;
				text << std::ifstream{process.log_file}.rdbuf();
				const auto whole = text.str();
				out += process.log_file + ":\n" +
					   (whole.size() > log_tail_bytes ? whole.substr(whole.size() - log_tail_bytes) : whole);
			}
		return out;
	}

	std::vector<std::string> job_cluster::log_lines_with(const std::string& word) const
	{
		std::vector<std::string> out;
		for (const auto* processes : {&agents_, &entries_})
			for (const auto& process : *processes)
			{
				const auto name = std::filesystem::path{process.log_file}.stem().string();
				std::ifstream file{process.log_file};
				for (std::string line; std::getline(file, line);)
					if (line.find(word) != std::string::npos)
						out.push_back(absl::StrCat(line, " ", name));
			}
		std::sort(out.begin(), out.end()); // each line begins with its time
		return out;
	}
}
