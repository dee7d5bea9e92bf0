// SPDX-License-Identifier: MIT
/// \file
/// \brief Clients and servers that ignore every limit, against real processes: these live, stay within the memory and
/// the descriptors of their machines, and serve an ordinary request afterwards.
#include "hostile_clients.hpp"

#include <trailjunction/core/json.hpp>
#include <trailjunction/net/coroutines.hpp>
#include <trailjunction/net/http_client.hpp>
#include <trailjunction/testkit/job_cluster.hpp>

#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace trailjunction;
using namespace trailjunction::testkit;

namespace
{
	constexpr std::size_t entry_memory = 160 * mib; // of the smallest machine of an entry
	constexpr std::size_t agent_memory = 128 * mib; // of the machine of an agent
	/// The descriptors of a machine, `maxFds`, less those that the users keep for files.
	constexpr std::size_t max_descriptors = 4'100 - 200;
	constexpr std::size_t test_descriptors = 3 * max_descriptors; // of this process

	constexpr auto longest_wait = millis{60'000}; // upper bound before a blocked test fails
	constexpr const char* ordinary_job = "00000000000000a1";

	constexpr std::size_t endless_bytes = 150 * mib; // of one connection; two of them exceed every machine
	constexpr std::size_t endless_connections = 2;

	const std::string filler(128, 'a');
	const std::string chunked_request =
		"Host: jobs.example\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
	const std::string chunked_submission = "POST /merges/00000000000000b2 HTTP/1.1\r\n" + chunked_request;
	const std::string chunked_heartbeat = "PUT /instances/life-9 HTTP/1.1\r\n" + chunked_request;
	const std::string chunked_response =
		"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

	/// A message whose body is followed by trailers without end.
	hostile_stream endless_trailers(const std::string& head)
	{
		return {.opening = head + "2\r\n{}\r\n0\r\n",
				.repeated = "X-Filler: " + filler + "\r\n",
				.repeated_bytes = endless_bytes};
	}

	/// A message whose first chunk has an extension without end.
	hostile_stream endless_extension(const std::string& head)
	{
		return {.opening = head + "2;a=", .repeated = filler, .repeated_bytes = endless_bytes};
	}

	job_cluster_options one_of_each()
	{
		job_cluster_options options;
		options.programs = TRAILJUNCTION_PROGRAMS;
		options.entries = 1;
		options.workers = 1;
		return options;
	}

	boost::json::object read_settings(const std::string& path)
	{
		std::ostringstream text;
		text << std::ifstream{path}.rdbuf();
		const auto value = parse_json(text.str());
		REQUIRE(value.ok());
		return value->as_object();
	}

	std::string agent_settings(job_cluster& system)
	{
		return std::filesystem::path{system.settings_file(0)}.parent_path() / "agent-1.json";
	}

	/// The address of a listener as the settings of its process name it.
	endpoint listener(const std::string& settings_path, const char* name)
	{
		const auto settings = read_settings(settings_path);
		const auto address = parse_endpoint(settings.at("listen").at(name).as_string());
		REQUIRE(address.ok());
		return *address;
	}

	int status_of(const endpoint& address, http_request request)
	{
		boost::asio::io_context io{1};
		http_client client{io, address};
		int status = 0;
		boost::asio::co_spawn(
			io,
			[&]() -> boost::asio::awaitable<void>
			{
				const auto result = co_await client.send(std::move(request), boottime_now() + longest_wait);
				status = result.delivery == delivery_status::answered ? result.response.status : 0;
			},
			boost::asio::detached);
		io.run();
		return status;
	}

	/// Whether a job of an ordinary caller is accepted and runs: the entry, the agent and its worker serve it.
	bool serves_job(job_cluster& system)
	{
		const auto submitted = [&]
		{
			return system.submit(0, ordinary_job, 1, millis{0}) == 200;
		};
		const auto completed = [&]
		{
			return system.state(0, ordinary_job) == "completed";
		};
		return job_cluster::wait_until(submitted, longest_wait) && job_cluster::wait_until(completed, longest_wait);
	}

	/// Has a crowd send its streams to a process, then checks the process and has it serve a job.
	void check_crowd(job_cluster& system, child_process& target, hostile_crowd& crowd, std::size_t max_memory)
	{
		process_usage usage;
		crowd.run([&] { usage.observe(target.id()); });
		crowd.close();
		const bool served = serves_job(system);
		usage.observe(target.id());
		INFO(system.logs());
		INFO(crowd.connected() << " connections, " << crowd.bytes_sent() / mib << " MiB sent, "
							   << crowd.unread_bytes() / mib << " MiB unread");
		INFO(usage.memory_bytes / mib << " MiB resident, " << usage.descriptors << " descriptors");
		CHECK(target.running());
		CHECK(usage.memory_bytes > 0);
		CHECK(usage.memory_bytes < max_memory);
		CHECK(usage.descriptors < max_descriptors);
		CHECK(served);
	}

	void check_entry(const hostile_stream& stream, std::size_t connections)
	{
		REQUIRE(allow_descriptors(test_descriptors));
		job_cluster system{one_of_each()};
		REQUIRE(system.wait_ready());
		hostile_crowd crowd{listener(system.settings_file(0), "callers"), connections, stream};
		check_crowd(system, system.entry(0), crowd, entry_memory);
	}

	void check_agent(const char* address, const hostile_stream& stream, std::size_t connections)
	{
		REQUIRE(allow_descriptors(test_descriptors));
		job_cluster system{one_of_each()};
		REQUIRE(system.wait_ready());
		hostile_crowd crowd{listener(agent_settings(system), address), connections, stream};
		check_crowd(system, system.agent(0), crowd, agent_memory);
	}
}

TEST_CASE("trailers without end to an entry do not exhaust its memory", "[process][hostile]")
{
	check_entry(endless_trailers(chunked_submission), endless_connections);
}

TEST_CASE("a chunk extension without end to an entry does not exhaust its memory", "[process][hostile]")
{
	check_entry(endless_extension(chunked_submission), endless_connections);
}

TEST_CASE("many request bodies that lack a byte do not exhaust an entry's memory", "[process][hostile]")
{
	constexpr std::size_t connections = 250;
	constexpr std::size_t body_bytes = mib;
	check_entry({.opening = absl::StrCat("POST /merges/00000000000000b2 HTTP/1.1\r\nHost: jobs.example\r\n",
										 "Content-Length: ", body_bytes, "\r\n\r\n"),
				 .repeated = filler,
				 .repeated_bytes = body_bytes - 1},
				connections);
}

TEST_CASE("pipelined requests whose responses are not read do not exhaust an entry's memory", "[process][hostile]")
{
	constexpr std::size_t connections = 100;
	check_entry(
		{.opening = "", .repeated = "GET /none HTTP/1.1\r\nHost: jobs.example\r\n\r\n", .repeated_bytes = 32 * kib},
		connections);
}

TEST_CASE("silent connections to an entry exhaust neither its descriptors nor its readiness check",
		  "[process][hostile]")
{
	REQUIRE(allow_descriptors(test_descriptors));
	job_cluster system{one_of_each()};
	REQUIRE(system.wait_ready());
	const auto readiness = listener(system.settings_file(0), "readiness");
	hostile_crowd crowd{listener(system.settings_file(0), "callers"), max_descriptors + 300, {}};
	process_usage usage;
	const auto observe = [&]
	{
		usage.observe(system.entry(0).id());
	};
	crowd.run(observe);
	CHECK(job_cluster::wait_until(
		[&] {
			return status_of(readiness, {"GET", "/ready", {}, ""}) == 200;
		},
		longest_wait));
	observe();
	INFO(crowd.connected() << " connections");
	INFO(usage.memory_bytes / mib << " MiB resident, " << usage.descriptors << " descriptors");
	crowd.close();
	CHECK(system.entry(0).running());
	CHECK(usage.memory_bytes > 0);
	CHECK(usage.memory_bytes < entry_memory);
	CHECK(usage.descriptors < max_descriptors);
	CHECK(serves_job(system));
}

TEST_CASE("connections to all addresses of an entry do not exhaust its descriptors while the store is silent",
		  "[process][hostile]")
{
	constexpr std::size_t connections = 1'100;   // to each address
	constexpr auto observe_time = millis{2'000}; // in which the requests reach the store
	REQUIRE(allow_descriptors(test_descriptors));
	auto options = one_of_each();
	options.proxies = true;
	job_cluster system{options};
	REQUIRE(system.wait_ready());
	const auto hold_store = [&](bool held)
	{
		system.with_proxy(proxied_connection::entry_store, 0,
						  [held](fault_proxy& proxy) { proxy.faults().hold_all = held; });
	};
	const auto settings = system.settings_file(0);
	hostile_crowd of_readiness{listener(settings, "readiness"), connections, {}};
	hostile_crowd of_metrics{listener(settings, "metrics"), connections, {}};
	hostile_crowd of_callers{listener(settings, "callers"),
							 connections,
							 {.opening = "GET /merges/00000000000000b2 HTTP/1.1\r\nHost: jobs.example\r\n\r\n"}};
	process_usage usage;
	const auto observe = [&]
	{
		usage.observe(system.entry(0).id());
		return usage.descriptors >= max_descriptors;
	};
	hold_store(true);
	for (auto* crowd : {&of_readiness, &of_metrics, &of_callers})
		crowd->run(observe);
	(void)job_cluster::wait_until(observe, observe_time);
	for (auto* crowd : {&of_readiness, &of_metrics, &of_callers})
		crowd->close();
	hold_store(false);
	const bool served = serves_job(system);
	INFO(system.logs());
	INFO(usage.memory_bytes / mib << " MiB resident, " << usage.descriptors << " descriptors");
	CHECK(system.entry(0).running());
	CHECK(usage.memory_bytes > 0);
	CHECK(usage.memory_bytes < entry_memory);
	CHECK(usage.descriptors < max_descriptors);
	CHECK(served);
}

TEST_CASE("trailers without end to the heartbeat address do not exhaust an agent's memory", "[process][hostile]")
{
	check_agent("heartbeats", endless_trailers(chunked_heartbeat), endless_connections);
}

TEST_CASE("heartbeats sent byte by byte exhaust neither the memory nor the descriptors of an agent",
		  "[process][hostile]")
{
	constexpr std::size_t connections = 200;
	check_agent("heartbeats",
				{.opening = "PUT /instances/life-9 HTTP/1.1\r\nX-Filler: ",
				 .repeated = filler,
				 .repeated_bytes = 2 * kib,
				 .write_bytes = 1},
				connections);
}

TEST_CASE("many frames that lack a byte do not exhaust an agent's memory", "[process][hostile]")
{
	constexpr std::size_t connections = 64;
	constexpr std::size_t frame_bytes = 4 * mib;
	const std::string frame_header{'\x00', '\x40', '\x00', '\x00'}; // the length, big-endian
	check_agent("links", {.opening = frame_header, .repeated = filler, .repeated_bytes = frame_bytes - 1}, connections);
}

TEST_CASE("links that send a byte now and then do not exhaust an agent's descriptors", "[process][hostile]")
{
	const std::string frame_header{'\x00', '\x00', '\x10', '\x00'};
	check_agent(
		"links",
		{.opening = frame_header, .repeated = filler, .repeated_bytes = 20, .write_bytes = 1, .interval = millis{250}},
		max_descriptors + 300);
}

namespace
{
	/// Announces a new worker to an agent in place of the stand-in, which falls silent.
	int announce_worker(job_cluster& system, const endpoint& worker)
	{
		system.with_worker(0, [](worker_standin& standin) { standin.faults.silent = true; });
		const boost::json::object body{
			{"service", "tally"},
			{"address", to_string(worker)},
			{"state", "ready"},
			{"capacity", boost::json::object{{"cpu", 8'000}, {"memMb", 16'000}, {"gpus", 0}}},
			{"labels", boost::json::array{"a", "r1-1"}},
			{"clockMs", 1},
			{"seq", 1}};
		return status_of(listener(agent_settings(system), "heartbeats"),
						 {"PUT", "/instances/life-9", {{"Content-Type", "application/json"}}, serialize(body)});
	}

	/// Has a worker answer the calls of an agent with hostile streams.
	void check_worker_responses(const hostile_stream& stream)
	{
		job_cluster system{one_of_each()};
		REQUIRE(system.wait_ready());
		hostile_server worker{1, stream};
		REQUIRE(announce_worker(system, worker.address()) == 200);
		process_usage usage;
		CHECK(worker.run([&] { usage.observe(system.agent(0).id()); }, longest_wait));
		INFO(usage.memory_bytes / mib << " MiB resident, " << usage.descriptors << " descriptors");
		CHECK(system.agent(0).running());
		CHECK(usage.memory_bytes > 0);
		CHECK(usage.memory_bytes < agent_memory);
		system.with_worker(0,
						   [](worker_standin& standin)
						   {
							   standin.crash(); // returns as a new incarnation, which supersedes the hostile one
							   standin.faults.silent = false;
						   });
		CHECK(serves_job(system));
	}

	/// Has the store answer the calls of an entry with hostile streams.
	void check_store_responses(const hostile_stream& stream)
	{
		job_cluster system{one_of_each()};
		REQUIRE(system.wait_ready());
		hostile_server store{endless_connections, stream};
		auto settings = read_settings(system.settings_file(0));
		settings["store"] = to_string(store.address());
		std::ofstream{system.settings_file(0)} << boost::json::serialize(settings);
		system.restart_entry(0);
		process_usage usage;
		CHECK(store.run([&] { usage.observe(system.entry(0).id()); }, longest_wait));
		INFO(usage.memory_bytes / mib << " MiB resident, " << usage.descriptors << " descriptors");
		CHECK(system.entry(0).running());
		CHECK(usage.memory_bytes > 0);
		CHECK(usage.memory_bytes < entry_memory);
		// An entry that never had a configuration answers 503.
		CHECK(system.submit(0, ordinary_job, 1, millis{0}) == 503);
	}
}

TEST_CASE("trailers without end in a worker's response do not exhaust an agent's memory", "[process][hostile]")
{
	check_worker_responses(endless_trailers(chunked_response));
}

TEST_CASE("a chunk extension without end in a worker's response does not exhaust an agent's memory",
		  "[process][hostile]")
{
	check_worker_responses(endless_extension(chunked_response));
}

TEST_CASE("trailers without end in a response of the store do not exhaust an entry's memory", "[process][hostile]")
{
	check_store_responses(endless_trailers(chunked_response));
}
