// SPDX-License-Identifier: MIT
#include "small_deployment.hh"

#include <trailjunction/core/json.hpp>
#include <trailjunction/core/random.hpp>
#include <trailjunction/jobs/job_rows.hpp>
#include <trailjunction/jobs/job_tables.hpp>
#include <trailjunction/net/http_client.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace review
{
	namespace asio = boost::asio;
	namespace json = boost::json;
	using namespace trailjunction;
	using namespace trailjunction::testkit;

	namespace
	{
		constexpr const char* entry_program = "target/packages/entry/trailjunction";
		constexpr const char* agent_program = "target/packages/agent/trailjunction-agent";
		constexpr const char* host = "jobs.example";
		constexpr const char* prefix = "/merges/";
		constexpr const char* readiness_job = "00000000000000ff";
		constexpr auto ready_timeout = millis{30'000};
		constexpr auto poll_interval = millis{50};
		constexpr auto heartbeat_timeout = millis{1'000};
		// Bounds of the site dkf-picking.
		constexpr int contact_ms = 3'000;
		constexpr int longest_run_lease_ms = 10'000;
		constexpr int harm_limit_ms = 4'000;
		constexpr int status_kept_ms = 120'000;
		constexpr int stop_within_ms = 6'000;
		constexpr double processor_share = 0.25;
		constexpr int workers_per_rack = 3;

		const char* configuration = R"({"version":1,"routes":[{"name":"merges","host":"jobs.example",
"pathPrefix":"/merges/","type":"non_idempotent","timeoutMs":3000,"targetLatencyMs":250,"priority":0,"service":"tally",
"maxAttempts":4,"stretch":1.5}],"services":[{"name":"tally","admissionCheck":true}],"limits":{"maxBodyBytes":262144}})";

		/// The processes that the case has started, for the signal handler; 0 for none.
		constexpr std::size_t max_processes = 64;
		std::array<std::atomic<pid_t>, max_processes> started_processes{};
		static_assert(std::atomic<pid_t>::is_always_lock_free);

		void note_started(pid_t id)
		{
			for (auto& slot : started_processes)
				if (pid_t none = 0; slot.compare_exchange_strong(none, id))
					return;
		}

		void note_ended(pid_t id)
		{
			for (auto& slot : started_processes)
				if (pid_t expected = id; slot.compare_exchange_strong(expected, 0))
					return;
		}

		/// Ends the case and all processes that it has started; run.sh sends SIGTERM after its time limit.
		void end_case(int)
		{
			for (auto& slot : started_processes)
				if (const auto id = slot.load(); id > 0)
					(void)::kill(id, SIGKILL);
			_exit(static_cast<int>(case_result::not_run));
		}

		void write_file(const std::string& path, const json::object& value)
		{
			std::ofstream{path} << json::serialize(value);
		}
	}

	case_record::case_record(const std::string& path) : file_{path}, began_at_{boottime_now()} {}

	double case_record::elapsed_s() const
	{
		return std::chrono::duration<double>(boottime_now() - began_at_).count();
	}

	void case_record::add(const std::string& line)
	{
		file_ << absl::StrFormat("%8.3f ", elapsed_s()) << line << std::endl;
	}

	int run_case(int argc, char** argv, case_result (*play)(case_record&))
	{
		try
		{
			if (argc != 2)
				throw std::runtime_error("usage: case RECORD");
			case_record record{argv[1]};
			try
			{
				return static_cast<int>(play(record));
			}
			catch (const std::exception& fault)
			{
				record.add(absl::StrCat("could not run: ", fault.what()));
			}
		}
		catch (const std::exception& fault)
		{
			std::cerr << fault.what() << '\n';
		}
		return static_cast<int>(case_result::not_run);
	}

	bool has_trouble()
	{
		const char* value = std::getenv("TROUBLE");
		return value == nullptr || std::string{value} != "0";
	}

	std::string make_job_id(unsigned number)
	{
		return absl::StrFormat("%016x", 0xa000U + number);
	}

	small_deployment::small_deployment(deployment_options options, case_record& record)
		: options_{options},
		  record_{record}
	{
		for (const int signal : {SIGTERM, SIGINT, SIGHUP})
			(void)std::signal(signal, end_case);
		directory_ = (std::filesystem::temp_directory_path() / absl::StrCat("trailjunction-", random_token())).string();
		std::filesystem::create_directories(directory_);
		try
		{
			start_all();
		}
		catch (...)
		{
			end_all(); // the destructor doesn't run then
			throw;
		}
	}

	void small_deployment::start_all()
	{
		thread_.run(
			[this]
			{
				store_ = std::make_unique<rows_standin>(thread_.io());
				store_->store.put("", "op", "config", configuration);
				gate_ = std::make_unique<row_store_gate>(thread_.io(), store_->listen(), store_limits{});
				store_address_ = gate_->listen();
			});
		for (int i = 0; i < options_.workers; ++i)
			make_worker(i);
		for (int i = 0; i < options_.entries; ++i)
			make_entry(i);
		for (int i = 0; i < options_.workers - options_.late_workers; ++i)
			start_agent(i);
		for (int i = 0; i < options_.entries; ++i)
			start_entry(i);
		record_.add(absl::StrCat("started ", options_.entries, " entries and ", options_.workers - options_.late_workers,
								 " agents"));
	}

	small_deployment::~small_deployment()
	{
		end_all();
	}

	void small_deployment::end_all()
	{
		for (auto* processes : {&agents_, &entries_})
			for (auto& process : *processes)
				if (process.process)
				{
					const auto id = process.process->id();
					process.process->kill();
					note_ended(id);
				}
		thread_.stop();
		std::error_code ignored;
		if (std::getenv("KEEP_LOGS") == nullptr)
			std::filesystem::remove_all(directory_, ignored);
	}

	void small_deployment::make_worker(int index)
	{
		process_state agent;
		const auto name = absl::StrCat("side-", index + 1);
		const auto heartbeats = addresses_.allocate();
		agent.heartbeat_address = heartbeats;
		const auto settings_path = absl::StrCat(directory_, "/", name, ".json");
		agent.log_file = absl::StrCat(directory_, "/", name, ".log");
		json::object settings{{"mode", "jobs"},
							  {"worker", name},
							  {"data_centre", "hall-1"},
							  {"store", to_string(store_address_)},
							  {"longest_run_lease_ms", longest_run_lease_ms},
							  {"harm_limit_ms", harm_limit_ms}};
		settings["listen"] = {{"heartbeats", to_string(heartbeats)},
							  {"links", to_string(addresses_.allocate())},
							  {"metrics", to_string(addresses_.allocate())}};
		write_file(settings_path, settings);
		agent.command_line = {agent_program, "--settings", settings_path};
		agents_.push_back(std::move(agent));
		thread_.run(
			[&]
			{
				const auto* kind = index == options_.special_worker ? "b" : "a";
				relays_.push_back(std::make_unique<heartbeat_relay>(
					thread_.io(), heartbeats, kind, absl::StrCat("r1-", index / workers_per_rack + 1)));
				workers_.push_back(std::make_unique<worker_standin>(
					thread_.io(), absl::StrFormat("i-%08x", 0x100 + index), "tally", relays_.back()->listen()));
				auto& worker = *workers_.back();
				worker.sends_start_time = false; // the pages name no start time
				worker.checks_room = true;
				worker.cpu_milli = options_.worker_cpu_milli;
				worker.run_cpu_milli = options_.task_cpu_milli;
				worker.longest_lease = millis{longest_run_lease_ms};
				const auto address = worker.listen();
				worker_addresses_.push_back(to_string(address));
				worker.start_heartbeats(address);
			});
	}

	void small_deployment::make_entry(int index)
	{
		process_state entry;
		const auto name = absl::StrCat("frontend-", index + 1);
		entry.caller_address = addresses_.allocate();
		const auto settings_path = absl::StrCat(directory_, "/", name, ".json");
		entry.log_file = absl::StrCat(directory_, "/", name, ".log");
		auto store = store_address_;
		if (options_.has_store_proxies)
			store = thread_.run(
				[&]
				{
					store_proxies_.push_back(std::make_unique<fault_proxy>(thread_.io(), store_address_));
					return store_proxies_.back()->listen();
				});
		json::object settings{{"mode", "jobs"},
							  {"member", name},
							  {"data_centre", "hall-1"},
							  {"store", to_string(store)},
							  {"contact_ms", contact_ms},
							  {"longest_run_lease_ms", longest_run_lease_ms},
							  {"status_kept_ms", status_kept_ms},
							  {"stop_within_ms", stop_within_ms}};
		settings["limits"] = {{"processor_share", processor_share}, {"processors", 1}};
		settings["listen"] = {{"callers", to_string(entry.caller_address)},
							  {"readiness", to_string(addresses_.allocate())},
							  {"metrics", to_string(addresses_.allocate())}};
		write_file(settings_path, settings);
		entry.command_line = {entry_program, "entry", "--settings", settings_path};
		entries_.push_back(std::move(entry));
	}

	void small_deployment::start_entry(int index)
	{
		auto& state = entries_[static_cast<std::size_t>(index)];
		state.process = std::make_unique<child_process>(state.command_line, state.log_file);
		note_started(state.process->id());
	}

	void small_deployment::start_agent(int index)
	{
		auto& state = agents_[static_cast<std::size_t>(index)];
		state.process = std::make_unique<child_process>(state.command_line, state.log_file);
		note_started(state.process->id());
	}

	int small_deployment::put_heartbeat(int agent, const std::string& worker_id, const std::string& body)
	{
		asio::io_context io{1};
		http_client client{io, agents_[static_cast<std::size_t>(agent)].heartbeat_address};
		http_request request{"PUT", "/instances/" + worker_id, {{"Content-Type", "application/json"}}, body};
		http_result result;
		asio::co_spawn(
			io,
			[&]() -> asio::awaitable<void>
			{ result = co_await client.send(std::move(request), boottime_now() + heartbeat_timeout); },
			asio::detached);
		io.run();
		return result.delivery == delivery_status::answered ? result.response.status : 0;
	}

	client_answer small_deployment::call(int entry, const std::string& method, const std::string& path,
										 const std::string& body, millis patience)
	{
		asio::io_context io{1};
		http_client client{io, entries_[static_cast<std::size_t>(entry)].caller_address};
		http_request request{method,
							 prefix + path,
							 {{"Host", host}, {"Content-Type", "application/json"}, {"Deadline-Ms", "3000"}},
							 body};
		http_result result;
		asio::co_spawn(
			io,
			[&]() -> asio::awaitable<void>
			{ result = co_await client.send(std::move(request), boottime_now() + patience); },
			asio::detached);
		io.run();
		if (result.delivery != delivery_status::answered)
			return {};
		return {result.response.status, result.response.body};
	}

	std::string small_deployment::state(int entry, const std::string& id)
	{
		const auto answer = call(entry, "GET", id);
		const auto parsed = parse_json(answer.body);
		if (answer.status != 200 || !parsed.ok() || !parsed->is_object())
			return absl::StrCat("(", answer.status, ")");
		return text_or(parsed->get_object(), "state");
	}

	std::int64_t small_deployment::pending(int entry)
	{
		const auto answer = call(entry, "GET", "");
		const auto parsed = parse_json(answer.body);
		if (answer.status != 200 || !parsed.ok() || !parsed->is_object())
			return -1;
		return number_or(parsed->get_object(), "pending");
	}

	bool small_deployment::wait_ready()
	{
		const auto until = boottime_now() + ready_timeout;
		const std::string body = R"({"spec":"20","phases":[{"count":1,"cpu":100,"memMb":16,"estimateMs":20}]})";
		while (boottime_now() < until)
		{
			bool accepted = true;
			for (int i = 0; i < options_.entries; ++i)
			{
				const auto answer = call(i, "POST", readiness_job, body);
				accepted = accepted && answer.status == 200;
			}
			if (accepted && state(0, readiness_job) == "completed")
			{
				record_.add("ready: a first job has completed");
				return true;
			}
			std::this_thread::sleep_for(poll_interval);
		}
		record_.add("not ready in 30 s");
		return false;
	}

	int small_deployment::owner()
	{
		const auto value =
			with_store([](memory_store& store) { return store.value(job_partition, owner_table, owner_key); });
		const auto row = decode_ownership(value);
		if (value.empty() || !row.ok())
			return -1;
		for (int i = 0; i < options_.entries; ++i)
			if (row->member == absl::StrCat("frontend-", i + 1))
				return i;
		return -1;
	}

	std::vector<worker_standin::started_run> small_deployment::started_runs()
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

	std::size_t small_deployment::active_runs()
	{
		const auto runs = started_runs();
		return static_cast<std::size_t>(
			std::count_if(runs.begin(), runs.end(), [](const auto& run) { return !run.ended_at; }));
	}

	std::vector<std::string> small_deployment::log_lines(const std::string& word) const
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
