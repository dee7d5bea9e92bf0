// SPDX-License-Identifier: MIT
#include <trailjunction/net/coroutines.hpp>
#include <trailjunction/net/span_exporter.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace trailjunction
{
	namespace asio = boost::asio;
	namespace json = boost::json;

	namespace
	{
		constexpr std::size_t ring_capacity_spans = 1024;
		constexpr std::size_t max_batch_spans = 4096;
		constexpr auto export_interval = std::chrono::milliseconds{500};
		constexpr auto export_deadline = std::chrono::seconds{2};

		json::object to_json(const span& ended)
		{
			json::object out;
			out["traceId"] = ended.context.trace_id;
			out["spanId"] = ended.id;
			out["parentSpanId"] = ended.context.parent_id;
			out["name"] = ended.name;
			out["startTimeUnixNano"] = std::to_string(ended.start_unix_nanos);
			out["endTimeUnixNano"] = std::to_string(ended.end_unix_nanos);
			out["attributes"] = json::array{{{"key", "outcome"}, {"value", {{"stringValue", ended.outcome}}}}};
			return out;
		}

		std::string to_otlp(const std::string& service, const std::vector<span>& batch)
		{
			json::array spans;
			for (const auto& ended : batch)
				spans.push_back(to_json(ended));
			const json::value resource = {
				{"attributes", json::array{{{"key", "service.name"}, {"value", {{"stringValue", service}}}}}}};
			const json::value scope = {{"scope", {{"name", "trailjunction"}}}, {"spans", std::move(spans)}};
			const json::value all = {
				{"resourceSpans", json::array{{{"resource", resource}, {"scopeSpans", json::array{scope}}}}}};
			return json::serialize(all);
		}
	}

	span_exporter::span_exporter(std::string service, std::optional<endpoint> collector)
		: work_{asio::make_work_guard(io_)},
		  service_{std::move(service)},
		  collector_{collector},
		  spans_{io_.get_executor(), ring_capacity_spans,
				 [this](span&& ended)
				 {
					 if (batch_.size() < max_batch_spans)
						 batch_.push_back(std::move(ended));
				 }}
	{
		if (!collector_)
			return;
		asio::co_spawn(io_, export_spans(), asio::detached);
		thread_ = std::thread{[this]
							  {
								  io_.run();
							  }};
	}

	span_exporter::~span_exporter()
	{
		io_.stop();
		if (thread_.joinable())
			thread_.join();
	}

	void span_exporter::offer(span ended)
	{
		if (collector_ && ended.context.sampled)
			(void)spans_.push(std::move(ended));
	}

	asio::awaitable<void> span_exporter::export_spans()
	{
		http_client client{io_, *collector_, 1};
		while (true)
		{
			asio::steady_timer pause{io_, export_interval};
			(void)co_await pause.async_wait(as_result);
			if (batch_.empty())
				continue;
			http_request request{"POST", "/v1/traces", {{"Content-Type", "application/json"}}, ""};
			request.body = to_otlp(service_, batch_);
			batch_.clear();
			(void)co_await client.send(std::move(request), boottime_now() + export_deadline);
		}
	}
}
