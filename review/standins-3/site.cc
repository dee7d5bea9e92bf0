#include "site.hh"

#include <trailjunction/core/json.hpp>
#include <trailjunction/core/random.hpp>
#include <trailjunction/jobs/job_rows.hpp>
#include <trailjunction/jobs/job_tables.hpp>
#include <trailjunction/net/coroutines.hpp>

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <cmath>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <unistd.h>

namespace review
{
	namespace asio = boost::asio;
	namespace json = boost::json;

	namespace
	{
		// The limits of the store, from PROTOCOL.md and the settings of the deployments.
		constexpr std::size_t row_bytes = 65'536;
		constexpr std::size_t max_entries = 100;
		constexpr std::size_t max_transaction_bytes = 1'000'000;
		constexpr int max_page_rows = 500;
		/// Ends that a worker lists at once; it sends the rest once these are acknowledged.
		constexpr std::size_t max_listed_ends = 500;
		/// Connections that a worker takes; it closes further ones (`maxConns` of the service).
		constexpr std::size_t max_worker_connections = 64;

		constexpr auto call_timeout = millis{5'000};

		/// The processes that run, for the signal handler.
		std::array<std::atomic<pid_t>, 128> running_processes{};

		/// Ends all processes when this one is told to stop, or gives up.
		void end_all(int)
		{
			for (auto& process : running_processes)
				if (const pid_t id = process.load(); id > 0)
					::kill(id, SIGKILL);
			::_exit(could_not_run);
		}

		void note_started(pid_t id)
		{
			for (auto& process : running_processes)
				if (pid_t none = 0; process.compare_exchange_strong(none, id))
					return;
		}

		void note_ended(pid_t id)
		{
			for (auto& process : running_processes)
			{
				pid_t expected = id;
				process.compare_exchange_strong(expected, 0);
			}
		}

		std::unique_ptr<child_process> start(const std::vector<std::string>& command_line, const std::string& log_file)
		{
			auto out = std::make_unique<child_process>(command_line, log_file);
			note_started(out->id());
			return out;
		}

		void end(child_process& process)
		{
			const pid_t id = process.id();
			process.kill();
			note_ended(id);
		}
		constexpr const char* host = "jobs.example";
		constexpr const char* prefix = "/merges/";

		endpoint any_port()
		{
			return endpoint{asio::ip::address_v4::loopback(), 0};
		}
	}

	bool with_trouble()
	{
		const char* value = std::getenv("TROUBLE");
		return value == nullptr || std::string{value} != "0";
	}

	recorder::recorder(const std::string& path) : file_{path}, began_at_{boottime_now()} {}

	double recorder::seconds() const
	{
		return std::chrono::duration<double>(boottime_now() - began_at_).count();
	}

	void recorder::line(const std::string& text)
	{
		const std::lock_guard lock{mutex_};
		const auto out = absl::StrFormat("%8.3f %s\n", seconds(), text);
		file_ << out << std::flush;
		std::cout << out << std::flush;
	}

	// ------------------------------------------------------------------ the store's limits

	limited_store::limited_store(asio::io_context& io, endpoint rows)
		: server_{io, http_limits{.max_body_bytes = 4'000'000},
				  [this](http_request request) { return answer(std::move(request)); }},
		  rows_{io, std::move(rows), 64, std::size_t{64} * 1024 * 1024}
	{
	}

	endpoint limited_store::listen()
	{
		return server_.listen(any_port()).value();
	}

	std::string limited_store::fault_of(const std::string& body)
	{
		if (body.size() > max_transaction_bytes)
			return absl::StrCat("a transaction of ", body.size(), " bytes");
		const auto parsed = parse_json(body);
		if (!parsed.ok() || !parsed->is_object())
			return "not an object";
		std::size_t entries = 0;
		for (const auto* name : {"expectedRev", "put", "remove"})
			if (const auto* rows = parsed->get_object().if_contains(name); rows != nullptr && rows->is_array())
				entries += rows->get_array().size();
		if (entries > max_entries)
			return absl::StrCat(entries, " entries");
		const auto* put = parsed->get_object().if_contains("put");
		if (put == nullptr || !put->is_array())
			return "";
		for (const auto& row : put->get_array())
		{
			std::string value;
			(void)absl::Base64Unescape(text_or(row.get_object(), "value"), &value);
			if (value.size() > row_bytes)
				return absl::StrCat("a value of ", value.size(), " bytes in table ", text_or(row.get_object(), "table"),
									", key ", text_or(row.get_object(), "key"));
			largest_value = std::max(largest_value, value.size());
		}
		return "";
	}

	asio::awaitable<http_response> limited_store::answer(http_request request)
	{
		if (path_of(request.target) == "/rows-tx")
			if (auto fault = fault_of(request.body); !fault.empty())
			{
				++refused_transactions;
				last_refusal = fault;
				co_return error_response(400, fault);
			}
		if (path_of(request.target) == "/rows-get" && query_parameter(request.target, "limit").empty())
			absl::StrAppend(&request.target, "&limit=", max_page_rows);
		std::erase_if(request.headers, [](const http_header& header) { return header.name != "Content-Type"; });
		const auto result = co_await rows_.send(std::move(request), boottime_now() + millis{40'000});
		if (result.delivery != delivery_status::answered)
			co_return http_response{0, {}, ""};
		co_return json_response(result.response.status, result.response.body);
	}

	// ------------------------------------------------------------------ the figures of running tasks

	namespace
	{
		/// The load of lasting tasks rises and falls with this period (swing_s of the site files).
		constexpr std::int64_t swing_period_ms = 10'000;

		std::int64_t swung(std::int64_t mean, double swing)
		{
			constexpr double full_turn = 6.283185307;
			const auto turn = static_cast<double>(unix_ms() % swing_period_ms) / static_cast<double>(swing_period_ms);
			return std::llround(static_cast<double>(mean) * (1.0 + swing * std::sin(full_turn * turn)));
		}
	}

	worker_front::worker_front(asio::io_context& io, endpoint worker, std::map<char, std::int64_t> figures,
							   std::string lasting, double swing)
		: server_{io, http_limits{.max_connections = max_worker_connections},
				  [this](http_request request) { return answer(std::move(request)); }},
		  worker_{io, std::move(worker), 64},
		  figures_{std::move(figures)},
		  lasting_{std::move(lasting)},
		  swing_{swing}
	{
	}

	endpoint worker_front::listen()
	{
		return server_.listen(any_port()).value();
	}

	asio::awaitable<http_response> worker_front::answer(http_request request)
	{
		const bool lists = path_of(request.target) == "/hold";
		std::erase_if(request.headers, [](const http_header& header)
					  { return header.name != "Content-Type" && header.name != "Expect-Instance"; });
		const auto result = co_await worker_.send(std::move(request), boottime_now() + millis{10'000});
		if (result.delivery != delivery_status::answered)
			co_return http_response{0, {}, ""};
		auto parsed = parse_json(result.response.body);
		if (!lists || !parsed.ok() || !parsed->is_object())
			co_return json_response(result.response.status, result.response.body);
		auto& body = parsed->get_object();
		if (auto* ends = body.if_contains("finished"); ends != nullptr && ends->is_array() && ends->get_array().size() > max_listed_ends)
			ends->get_array().resize(max_listed_ends);
		if (auto* rows = body.if_contains("running"); rows != nullptr && rows->is_array())
			for (auto& row : rows->get_array())
			{
				const auto& name = row.get_array().at(0).get_string();
				if (const auto figure = figures_.find(name[0]); figure != figures_.end())
				{
					const bool is_lasting = lasting_.find(name[0]) != std::string::npos;
					row.get_array().at(4) = is_lasting ? swung(figure->second, swing_) : figure->second;
					// The project's stand-in lists 50 for every task; one that lasts is at work after a short start.
					if (is_lasting)
						row.get_array().at(3) = 100;
				}
			}
		co_return json_response(result.response.status, json::serialize(body));
	}

	// ------------------------------------------------------------------ the deployment

	site::site(site_options options, recorder& record) : options_{std::move(options)}, record_{record}
	{
		for (const int number : {SIGTERM, SIGINT, SIGHUP, SIGABRT})
			std::signal(number, end_all);
		directory_ = (std::filesystem::temp_directory_path() / absl::StrCat("tj-review-", random_token())).string();
		std::filesystem::create_directories(directory_);
		thread_.run(
			[this]
			{
				rows_ = std::make_unique<rows_standin>(thread_.io());
				const auto rows = rows_->listen();
				rows_->store.put(
					"", "op", "config",
					absl::StrCat(R"({"version":1,"routes":[{"name":"merges","host":"jobs.example","pathPrefix":"/merges/",)"
								 R"("type":"non_idempotent","timeoutMs":3000,"targetLatencyMs":1000,"priority":2,)"
								 R"("service":"tally","maxAttempts":4,"stretch":2.0)",
								 options_.more_routes,
								 R"(}],"services":[{"name":"tally","healthPath":"/health","maxConns":64,)"
								 R"("admissionCheck":true}],"limits":{"maxBodyBytes":262144}})"));
				store_ = std::make_unique<limited_store>(thread_.io(), rows);
				store_address_ = store_->listen();
			});
		for (int i = 0; i < options_.workers; ++i)
			make_worker(i);
		for (int i = 0; i < options_.entries; ++i)
			make_entry(i);
		for (auto* processes : {&agents_, &entries_})
			for (auto& process : *processes)
				process.process = start(process.command_line, process.log_file);
	}

	site::~site()
	{
		for (auto* processes : {&agents_, &entries_})
			for (auto& process : *processes)
				end(*process.process);
		thread_.stop();
		std::error_code ignored;
		if (std::getenv("KEEP_LOGS") == nullptr)
			std::filesystem::remove_all(directory_, ignored);
		else
			std::cout << "logs: " << directory_ << "\n";
	}

	void site::make_worker(int index)
	{
		process_state agent;
		const auto name = absl::StrCat("side-", index + 1);
		const auto heartbeats = addresses_.allocate();
		const auto settings_path = absl::StrCat(directory_, "/", name, ".json");
		agent.log_file = absl::StrCat(directory_, "/", name, ".log");
		json::object settings{{"mode", "jobs"},
							  {"worker", name},
							  {"data_centre", absl::StrCat("hall-", index % 3 + 1)},
							  {"store", to_string(store_address_)},
							  {"longest_run_lease_ms", 6'000},
							  {"harm_limit_ms", 4'000}};
		settings["listen"] = {{"heartbeats", to_string(heartbeats)},
							  {"links", to_string(addresses_.allocate())},
							  {"metrics", to_string(addresses_.allocate())}};
		std::ofstream{settings_path} << json::serialize(settings);
		agent.command_line = {options_.programs + "/packages/agent/trailjunction-agent", "--settings", settings_path};
		agents_.push_back(std::move(agent));
		thread_.run(
			[&]
			{
				auto worker = std::make_unique<worker_standin>(thread_.io(), absl::StrCat("i-", index + 1, "a"),
															   "tally", heartbeats);
				worker->cpu_milli = options_.worker_cpu_milli;
				worker->sends_start_time = options_.states_born;
				worker->next_first_clock_ms = 482'113;
				worker->restart_in_place();
				auto address = worker->listen();
				if (!options_.figures.empty())
				{
					fronts_.push_back(std::make_unique<worker_front>(thread_.io(), address, options_.figures, options_.lasting, options_.figure_swing));
					address = fronts_.back()->listen();
				}
				worker->start_heartbeats(address);
				workers_.push_back(std::move(worker));
			});
	}

	void site::make_entry(int index)
	{
		process_state entry;
		const auto name = absl::StrCat("frontend-", index + 1);
		const auto settings_path = absl::StrCat(directory_, "/", name, ".json");
		entry.callers = addresses_.allocate();
		entry.log_file = absl::StrCat(directory_, "/", name, ".log");
		json::object settings{{"mode", "jobs"},
							  {"member", name},
							  {"data_centre", absl::StrCat("hall-", index % 3 + 1)},
							  {"store", to_string(store_address_)},
							  {"limits", json::object{{"processor_share", 0.25}, {"processors", 1}}},
							  {"contact_ms", 3'000},
							  {"longest_run_lease_ms", 6'000},
							  {"status_kept_ms", 120'000},
							  {"stop_within_ms", 6'000}};
		settings["listen"] = {{"callers", to_string(entry.callers)},
							  {"readiness", to_string(addresses_.allocate())},
							  {"metrics", to_string(addresses_.allocate())}};
		std::ofstream{settings_path} << json::serialize(settings);
		entry.command_line = {options_.programs + "/packages/entry/trailjunction", "entry", "--settings",
							  settings_path};
		entries_.push_back(std::move(entry));
	}

	http_result site::call(int entry, const std::string& method, const std::string& rest, const std::string& body)
	{
		asio::io_context io{1};
		http_client client{io, entries_[static_cast<std::size_t>(entry)].callers};
		http_request request{
			method,
			prefix + rest,
			{{"Host", host}, {"Content-Type", "application/json"}, {"Deadline-Ms", "3000"}},
			body};
		http_result result;
		asio::co_spawn(
			io,
			[&]() -> asio::awaitable<void>
			{ result = co_await client.send(std::move(request), boottime_now() + call_timeout); },
			asio::detached);
		io.run();
		return result;
	}

	int site::submit(int entry, const std::string& id, const std::string& body)
	{
		const auto result = call(entry, "POST", id, body);
		const int status = result.delivery == delivery_status::answered ? result.response.status : 0;
		record_.line(absl::StrCat("client: POST ", id, " at entry ", entry + 1, " -> ", status, " (", body.size(),
								  " bytes) ", body.size() < 300 ? body : ""));
		return status;
	}

	int site::cancel(int entry, const std::string& id)
	{
		const auto result = call(entry, "DELETE", id);
		const int status = result.delivery == delivery_status::answered ? result.response.status : 0;
		record_.line(absl::StrCat("client: DELETE ", id, " at entry ", entry + 1, " -> ", status));
		return status;
	}

	std::string site::state(int entry, const std::string& id)
	{
		const auto result = call(entry, "GET", id);
		if (result.delivery != delivery_status::answered)
			return "no answer";
		const auto parsed = parse_json(result.response.body);
		if (result.response.status != 200 || !parsed.ok() || !parsed->is_object())
			return absl::StrCat("status ", result.response.status);
		return text_or(parsed->get_object(), "state");
	}

	bool site::wait_ready()
	{
		for (int i = 0; i < options_.entries; ++i)
		{
			const auto id = job_id_of(0xff00 + static_cast<std::uint64_t>(i));
			const auto* body = R"({"spec":"50","phases":[{"count":3,"cpu":500,"memMb":64,"estimateMs":50}]})";
			const bool ready = wait_until(
				[&]
				{
					const auto result = call(i, "POST", id, body);
					return result.delivery == delivery_status::answered && result.response.status == 200;
				},
				millis{20'000});
			if (!ready || !wait_until([&] { return state(i, id) == "completed"; }, millis{15'000}))
				return false;
		}
		record_.line("all entries have taken a job, and these jobs have completed");
		return true;
	}

	int site::owner()
	{
		const auto value = with_store([](memory_store& store, limited_store&)
									  { return store.value(job_partition, owner_table, owner_key); });
		const auto row = decode_ownership(value);
		if (value.empty() || !row.ok())
			return -1;
		for (int i = 0; i < options_.entries; ++i)
			if (row->member == absl::StrCat("frontend-", i + 1))
				return i;
		return -1;
	}

	std::vector<worker_standin::started_run> site::started_runs()
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

	std::size_t site::at_work()
	{
		const auto runs = started_runs();
		return static_cast<std::size_t>(
			std::count_if(runs.begin(), runs.end(), [](const auto& run) { return !run.ended_at; }));
	}

	void site::restart_entry(int index)
	{
		auto& process = entries_[static_cast<std::size_t>(index)];
		end(*process.process);
		process.process = start(process.command_line, process.log_file);
	}

	void site::restart_agent(int index)
	{
		auto& process = agents_[static_cast<std::size_t>(index)];
		end(*process.process);
		process.process = start(process.command_line, process.log_file);
	}

	std::vector<std::string> site::log_lines(const std::string& word) const
	{
		std::vector<std::string> out;
		for (const auto* processes : {&agents_, &entries_})
			for (const auto& process : *processes)
			{
				const auto name = std::filesystem::path{process.log_file}.stem().string();
				std::ifstream file{process.log_file};
				for (std::string line; std::getline(file, line);)
					if (line.find(word) != std::string::npos)
						out.push_back(absl::StrCat(name, ": ", line));
			}
		return out;
	}

	std::int64_t unix_ms()
	{
		return std::chrono::duration_cast<millis>(std::chrono::system_clock::now().time_since_epoch()).count();
	}

	std::string job_id_of(std::uint64_t number)
	{
		return absl::StrFormat("%016x", number);
	}
}
