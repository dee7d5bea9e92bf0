// SPDX-License-Identifier: MIT
#include "deployment.hh"

#include <trailjunction/core/json.hpp>
#include <trailjunction/core/random.hpp>
#include <trailjunction/jobs/job_rows.hpp>
#include <trailjunction/jobs/job_tables.hpp>
#include <trailjunction/net/coroutines.hpp>

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/array.hpp>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <stdexcept>
#include <thread>

namespace review
{
	namespace asio = boost::asio;
	namespace json = boost::json;

	namespace
	{
		constexpr const char* host = "jobs.example";
		constexpr const char* service = "tally";
		constexpr auto ready_timeout = std::chrono::seconds{20};
		constexpr auto poll_interval = std::chrono::milliseconds{50};
		constexpr auto longest_worker_call = millis{5'000};
		constexpr auto start_time = millis{400};        ///< Until a lasting task is at work.
		constexpr auto upkeep_duration = millis{2'000}; ///< upkeep_s
		constexpr auto client_pause = std::chrono::milliseconds{300};
		/// How much longer than its deadline a client waits for an answer.
		constexpr int client_slack_ms = 500;
		constexpr int heartbeat_timeout_ms = 1'000;

		/// The routes of the small site, with the priorities and attempts of its classes.
		constexpr const char* configuration = R"({"version":1,"routes":[
{"name":"species-check","host":"jobs.example","pathPrefix":"/check/","timeoutMs":3000,"targetLatencyMs":250,
"priority":0,"service":"tally","maxAttempts":2,"stretch":1.5},
{"name":"weekend-merge","host":"jobs.example","pathPrefix":"/merge/","timeoutMs":3000,"targetLatencyMs":1000,
"priority":2,"service":"tally","maxAttempts":4,"stretch":2.0}],
"services":[{"name":"tally","admissionCheck":true}],"limits":{"maxBodyBytes":262144}})";

		std::string programs_folder()
		{
			if (const char* named = std::getenv("PROGRAMS"); named != nullptr)
				return named;
			for (const std::string folder : {"target", "build"})
				if (std::filesystem::exists(folder + "/packages/entry/trailjunction"))
					return folder;
			throw std::runtime_error{"the programs are neither below target/ nor below build/"};
		}

		void write_file(const std::string& path, const json::object& value)
		{
			std::ofstream{path} << json::serialize(value);
		}

		std::int64_t wall_second()
		{
			return to_millis(boottime_now()) / 1'000;
		}
	}

	bool has_trouble()
	{
		const char* value = std::getenv("TROUBLE");
		return value == nullptr || std::string{value} != "0";
	}

	std::string make_id(unsigned number)
	{
		return absl::StrFormat("%016x", number);
	}

	std::string task_name(const std::string& id, int index)
	{
		return absl::StrCat(id, ".0.0.", index);
	}

	store_gate::store_gate(asio::io_context& io, endpoint rows)
		: io_{io},
		  rows_{io, std::move(rows), 64, std::size_t{16} * 1024 * 1024},
		  server_{io, http_limits{.max_body_bytes = 4'000'000},
				  [this](http_request request)
				  {
					  return answer(std::move(request));
				  }}
	{
	}

	endpoint store_gate::listen()
	{
		return server_.listen(endpoint{asio::ip::address_v4::loopback(), 0}).value();
	}

	bool store_gate::exceeds_rate(bool writes)
	{
		if (const auto now = wall_second(); now != second_)
		{
			second_ = now;
			writes_ = reads_ = 0;
		}
		return writes ? ++writes_ > conditions.writes_per_s : ++reads_ > conditions.reads_per_s;
	}

	millis store_gate::answer_delay()
	{
		if (conditions.slow_max.count() == 0)
			return conditions.usual_answer;
		std::uniform_int_distribution<std::int64_t> draw{conditions.slow_min.count(), conditions.slow_max.count()};
		return millis{draw(random_)};
	}

	http_response store_gate::check_transaction(const std::string& body)
	{
		const auto parsed = parse_json(body);
		if (!parsed.ok() || !parsed->is_object())
			return error_response(400, "the body is not an object");
		if (body.size() > conditions.max_body_bytes)
			return error_response(400, "the transaction is too large");
		std::size_t entries = 0;
		for (const auto* name : {"expectedRev", "put", "remove"})
			if (const auto* rows = parsed->get_object().if_contains(name); rows != nullptr && rows->is_array())
				entries += rows->get_array().size();
		if (entries > conditions.max_entries)
			return error_response(400, "the transaction has too many entries");
		const auto* put = parsed->get_object().if_contains("put");
		if (put == nullptr || !put->is_array())
			return {};
		for (const auto& row : put->get_array())
		{
			std::string value;
			(void)absl::Base64Unescape(text_or(row.get_object(), "value"), &value);
			largest_row = std::max(largest_row, value.size());
			if (value.size() <= conditions.row_bytes)
				continue;
			if (refused_rows++ == 0)
			{
				first_refused_row = value.size();
				first_refused_row_name =
					absl::StrCat(text_or(row.get_object(), "table"), "/", text_or(row.get_object(), "key"));
			}
			return error_response(400, "a value has more than row_bytes");
		}
		return {};
	}

	void store_gate::note_version(const std::string& body)
	{
		const auto parsed = parse_json(body);
		if (parsed.ok() && parsed->is_object())
			newest_version = std::max(newest_version, number_or(parsed->get_object(), "ver"));
	}

	asio::awaitable<http_response> store_gate::answer(http_request request)
	{
		const bool writes = path_of(request.target) == "/rows-tx";
		const bool feeds = path_of(request.target) == "/rows-feed";
		const auto arrived = boottime_now();
		const auto delay = answer_delay();
		http_response out;
		std::int64_t continues_from = 0;
		if (feeds)
			(void)absl::SimpleAtoi(query_parameter(request.target, "afterRev"), &continues_from);
		if (exceeds_rate(writes))
			out = error_response(429, "too many calls");
		else if (writes)
			out = check_transaction(request.body);
		else if (feeds && continues_from < conditions.kept_since)
		{
			++forgotten_feeds;
			out = error_response(410, "that history is gone");
		}
		if (out.status == 200)
		{
			auto result = co_await rows_.send(std::move(request), boottime_now() + millis{31'000});
			if (result.delivery != delivery_status::answered)
				co_return http_response{0, {}, ""};
			out = std::move(result.response);
			note_version(out.body);
		}
		if (feeds && out.status == 200 && conditions.feeds_held)
		{
			while (conditions.feeds_held)
				co_await pause_for(io_, millis{5});
			co_return http_response{0, {}, ""};
		}
		// A feed has waited already; its answer takes its time from the change on.
		const auto due = (feeds ? boottime_now() : arrived) + delay;
		if (boottime_now() < due)
			co_await pause_for(io_, std::chrono::ceil<micros>(due - boottime_now()));
		co_return out;
	}

	worker_gate::worker_gate(asio::io_context& io, endpoint worker)
		: worker_{io, std::move(worker), 32, std::size_t{4} * 1024 * 1024},
		  server_{io, http_limits{},
				  [this](http_request request)
				  {
					  return answer(std::move(request));
				  }}
	{
	}

	endpoint worker_gate::listen()
	{
		return server_.listen(endpoint{asio::ip::address_v4::loopback(), 0}).value();
	}

	asio::awaitable<http_response> worker_gate::answer(http_request request)
	{
		const bool lists = path_of(request.target) == "/hold";
		auto result = co_await worker_.send(std::move(request), boottime_now() + longest_worker_call);
		if (result.delivery != delivery_status::answered)
			co_return http_response{0, {}, ""};
		if (lists && result.response.status == 200)
			co_return json_response(200, with_progress(result.response.body));
		co_return std::move(result.response);
	}

	std::string worker_gate::with_progress(const std::string& listing)
	{
		constexpr std::size_t percent_column = 3;
		auto parsed = parse_json(listing);
		if (!parsed.ok() || !parsed->is_object() || !parsed->get_object().contains("running"))
			return listing;
		const auto now = boottime_now();
		for (auto& row : parsed->get_object()["running"].get_array())
		{
			auto& columns = row.get_array();
			const auto key = json::serialize(columns[0]) + ":" + json::serialize(columns[1]);
			const auto first = first_listed_.emplace(key, now).first->second;
			columns[percent_column] = now - first >= start_time ? 100 : 50;
		}
		return json::serialize(*parsed);
	}

	deployment::deployment(const deployment_options& options, const std::string& record_file)
		: started_at_{boottime_now()}
	{
		record_.open(record_file);
		for (const auto* program : {"/packages/entry/trailjunction", "/packages/agent/trailjunction-agent"})
			if (!std::filesystem::exists(programs_folder() + program))
				throw std::runtime_error{"a program of the project is missing"};
		folder_ =
			(std::filesystem::temp_directory_path() / absl::StrCat("trailjunction-review-", random_token())).string();
		std::filesystem::create_directories(folder_);
		thread_.run(
			[this]
			{
				rows_ = std::make_unique<testkit::rows_standin>(thread_.io());
				rows_->store.put("", "op", "config", configuration);
				gate_ = std::make_unique<store_gate>(thread_.io(), rows_->listen());
				store_address_ = gate_->listen();
				instances_ = std::make_unique<testkit::instances_standin>(thread_.io());
				instances_->upkeep_duration = upkeep_duration;
				instances_address_ = instances_->listen();
			});
		for (std::size_t i = 0; i < options.worker_cpu_milli.size(); ++i)
			add_worker(static_cast<int>(i), options.worker_cpu_milli[i], options);
		for (int i = 0; i < options.entries; ++i)
			add_entry(i, options);
		for (auto* group : {&agents_, &entries_})
			for (auto& item : *group)
				item.child = testkit::child_process{item.command, item.log};
		watchdog_ = std::thread{[this, longest_case = options.longest_case]
								{
									std::unique_lock lock{watchdog_mutex_};
									if (watchdog_done_.wait_for(lock, longest_case, [this] { return over_; }))
										return;
									stop();
									std::_Exit(not_run);
								}};
	}

	deployment::~deployment()
	{
		{
			const std::scoped_lock lock{watchdog_mutex_};
			over_ = true;
		}
		watchdog_done_.notify_all();
		watchdog_.join();
		stop();
		thread_.stop();
		std::error_code ignored;
		if (std::getenv("KEEP_LOGS") == nullptr)
			std::filesystem::remove_all(folder_, ignored);
		else
			std::cerr << "logs: " << folder_ << '\n';
	}

	void deployment::stop()
	{
		for (auto* group : {&agents_, &entries_})
			for (auto& item : *group)
				item.child.kill();
	}

	void deployment::add_worker(int index, std::int64_t cpu_milli, const deployment_options& options)
	{
		process agent;
		const auto name = absl::StrCat("side-", index + 1);
		const auto settings_path = absl::StrCat(folder_, "/", name, ".json");
		const auto heartbeats = addresses_.allocate();
		agent.heartbeats = heartbeats;
		json::object settings{{"mode", "jobs"},
							  {"worker", name},
							  {"data_centre", "sohar-hall"},
							  {"store", to_string(store_address_)},
							  {"longest_run_lease_ms", 6'000},
							  {"harm_limit_ms", 4'000}};
		settings["listen"] = {{"heartbeats", to_string(heartbeats)},
							  {"links", to_string(addresses_.allocate())},
							  {"metrics", to_string(addresses_.allocate())}};
		write_file(settings_path, settings);
		agent.log = absl::StrCat(folder_, "/", name, ".log");
		agent.command = {programs_folder() + "/packages/agent/trailjunction-agent", "--settings", settings_path};
		agents_.push_back(std::move(agent));
		thread_.run(
			[&]
			{
				workers_.push_back(std::make_unique<worker_standin>(thread_.io(), absl::StrCat("i-000000", index + 1),
																	service, heartbeats));
				auto& worker = *workers_.back();
				instances_->add(absl::StrCat("machine-", index + 1), worker);
				worker.cpu_milli = cpu_milli;
				worker.run_cpu_milli = options.run_cpu_milli;
				worker.checks_room = true;
				worker.stop_time = millis{100};
				auto address = worker.listen();
				if (options.serving)
				{
					worker_gates_.push_back(std::make_unique<worker_gate>(thread_.io(), address));
					address = worker_gates_.back()->listen();
				}
				worker.start_heartbeats(address);
			});
	}

	void deployment::add_entry(int index, const deployment_options& options)
	{
		process entry;
		const auto name = absl::StrCat("frontend-", index + 1);
		const auto settings_path = absl::StrCat(folder_, "/", name, ".json");
		entry.address = addresses_.allocate();
		entry.ready = addresses_.allocate();
		const auto store = thread_.run(
			[this]
			{
				store_links_.push_back(std::make_unique<testkit::fault_proxy>(thread_.io(), store_address_));
				return store_links_.back()->listen();
			});
		json::object settings{{"mode", "jobs"},
							  {"member", name},
							  {"data_centre", "sohar-hall"},
							  {"store", to_string(store)},
							  {"contact_ms", 3'000},
							  {"longest_run_lease_ms", 6'000},
							  {"status_kept_ms", options.status_kept_ms},
							  {"stop_within_ms", 6'000}};
		settings["listen"] = {{"callers", to_string(entry.address)},
							  {"readiness", to_string(entry.ready)},
							  {"metrics", to_string(addresses_.allocate())}};
		if (options.has_upkeep)
			settings["upkeep"] = {{"service", to_string(instances_address_)},
								  {"calls_per_s", 60},
								  {"reads_per_s", 60},
								  {"fences_checked", true},
								  {"lasts_s", 2}};
		settings["limits"] = {{"processor_share", 0.25}, {"processors", 1}};
		write_file(settings_path, settings);
		entry.log = absl::StrCat(folder_, "/", name, ".log");
		entry.command = {programs_folder() + "/packages/entry/trailjunction", "entry", "--settings", settings_path};
		entries_.push_back(std::move(entry));
	}

	int deployment::owner()
	{
		const auto value = thread_.run([this] { return rows_->store.value(job_partition, owner_table, owner_key); });
		const auto row = decode_ownership(value);
		if (value.empty() || !row.ok())
			return -1;
		for (int i = 0; i < entries(); ++i)
			if (row->member == absl::StrCat("frontend-", i + 1))
				return i;
		return -1;
	}

	void deployment::cut_from_store(int entry, bool cut)
	{
		thread_.run([&] { store_links_[static_cast<std::size_t>(entry)]->faults().hold_all = cut; });
	}

	void deployment::kill_agent(int index)
	{
		agents_[static_cast<std::size_t>(index)].child.kill();
	}

	void deployment::start_agent(int index)
	{
		auto& agent = agents_[static_cast<std::size_t>(index)];
		agent.child = testkit::child_process{agent.command, agent.log};
	}

	std::vector<std::string> deployment::log_lines(int entry, const std::string& word) const
	{
		std::vector<std::string> out;
		std::ifstream file{entries_[static_cast<std::size_t>(entry)].log};
		for (std::string line; std::getline(file, line);)
			if (absl::StrContains(line, word))
				out.push_back(line);
		return out;
	}

	std::int64_t deployment::elapsed_ms() const
	{
		return std::chrono::duration_cast<millis>(boottime_now() - started_at_).count();
	}

	void deployment::record(const std::string& line)
	{
		const std::scoped_lock lock{record_mutex_};
		record_ << absl::StrFormat("%8.3f ", static_cast<double>(elapsed_ms()) / 1'000.0) << line << std::endl;
	}

	namespace
	{
		http_result send(const endpoint& to, http_request request, int timeout_ms)
		{
			asio::io_context io{1};
			http_client client{io, to};
			http_result result;
			asio::co_spawn(
				io,
				[&]() -> asio::awaitable<void>
				{ result = co_await client.send(std::move(request), boottime_now() + millis{timeout_ms}); },
				asio::detached);
			io.run();
			return result;
		}
	}

	client_answer deployment::call(int entry, const std::string& method, const std::string& path,
								   const std::string& body, int deadline_ms)
	{
		const auto sent_ms = elapsed_ms();
		http_request request{
			method,
			path,
			{{"Host", host}, {"Content-Type", "application/json"}, {"Deadline-Ms", absl::StrCat(deadline_ms)}},
			body};
		const auto result =
			send(entries_[static_cast<std::size_t>(entry)].address, std::move(request), deadline_ms + client_slack_ms);
		client_answer out;
		if (result.delivery == delivery_status::answered)
			out = {result.response.status, result.response.body};
		record(absl::StrCat("client entry-", entry + 1, " ", method, " ", path, " sent ", sent_ms, " ms -> ",
							out.status, " ", out.body.substr(0, 120)));
		return out;
	}

	int deployment::put_heartbeat(int agent, const std::string& id, const std::string& body)
	{
		http_request request{"PUT", "/instances/" + id, {{"Content-Type", "application/json"}}, body};
		const auto& to = agents_[static_cast<std::size_t>(agent)].heartbeats;
		return send(to, std::move(request), heartbeat_timeout_ms).response.status;
	}

	bool deployment::submit(int entry, const std::string& path, const std::string& body, int tries)
	{
		for (int i = 0; i < tries; ++i)
		{
			const auto answer = call((entry + i) % entries(), "POST", path, body);
			if (answer.status == 200)
				return true;
			std::this_thread::sleep_for(client_pause);
		}
		return false;
	}

	bool deployment::wait_ready()
	{
		const auto until = std::chrono::steady_clock::now() + ready_timeout;
		const auto is_ready = [](const process& item)
		{
			http_request request;
			request.target = "/ready";
			return send(item.ready, std::move(request), 500).response.status == 200;
		};
		while (std::chrono::steady_clock::now() < until)
		{
			std::this_thread::sleep_for(poll_interval);
			if (!std::all_of(entries_.begin(), entries_.end(), is_ready))
				continue;
			const auto id = make_id(0xff);
			const auto answer = call(0, "POST", "/check/" + id, R"({"spec":"0","phases":[{"count":1,"cpu":100}]})");
			if (answer.status == 200 && absl::StrContains(call(1, "GET", "/check/" + id, "").body, "completed"))
				return true;
		}
		return false;
	}

	std::vector<worker_standin::started_run> deployment::started_runs()
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

	void deployment::record_runs()
	{
		auto runs = started_runs();
		std::sort(runs.begin(), runs.end(),
				  [](const auto& left, const auto& right) { return left.started_at < right.started_at; });
		const auto at = [&](instant time)
		{
			return std::chrono::duration_cast<millis>(time - started_at_).count();
		};
		const std::scoped_lock lock{record_mutex_};
		for (const auto& run : runs)
			record_ << "run " << run.task << " " << run.run << " on " << run.incarnation << " started "
					<< at(run.started_at) << " ms, "
					<< (run.ended_at ? absl::StrCat(run.end_state, " ", at(*run.ended_at), " ms") : "still there")
					<< (run.acknowledged_at ? absl::StrCat(", end noted ", at(*run.acknowledged_at), " ms") : "")
					<< '\n';
		record_.flush();
	}
}
