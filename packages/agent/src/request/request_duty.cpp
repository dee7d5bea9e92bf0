// SPDX-License-Identifier: MIT
#include "request_duty.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/net/coroutines.hpp>
#include <trailjunction/net/listener.hpp>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		constexpr std::size_t ring_capacity = 64;
		/// Leaves space for headers within a frame.
		constexpr std::size_t max_answer_bytes = std::size_t{3} * 1024 * 1024;
		constexpr auto queue_check_interval = millis{20};
		constexpr std::size_t max_latency_samples = 4096; ///< Maximum number of samples in one interval.

		std::int64_t percentile(std::vector<std::int64_t>& values, double share)
		{
			if (values.empty())
				return 0;
			const auto index = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
			std::nth_element(values.begin(), values.begin() + index, values.end());
			return values[static_cast<std::size_t>(index)];
		}

		http_request to_http(const wire::request& message, const span& trace)
		{
			http_request out{message.method, message.target, {}, message.body};
			for (const auto& field : message.headers)
				if (!absl::EqualsIgnoreCase(field.name, "traceparent"))
					out.headers.push_back({field.name, field.value});
			out.headers.push_back({"traceparent", to_traceparent(trace.context, trace.id)});
			return out;
		}

		wire::reply to_reply(http_result&& result)
		{
			wire::reply reply;
			switch (result.delivery)
			{
			case delivery_status::not_sent:
				reply.how = wire::outcome::not_run;
				reply.reason = absl::StrCat("the upstream was not reached: ", result.status.message());
				break;
			case delivery_status::unknown:
				reply.how = wire::outcome::unknown;
				reply.reason = absl::StrCat("the upstream gave no whole answer: ", result.status.message());
				break;
			case delivery_status::answered:
				reply.how = wire::outcome::done;
				reply.status = result.response.status;
				for (auto& field : result.response.headers)
				{
					wire::header out;
					out.name = std::move(field.name);
					out.value = std::move(field.value);
					reply.headers.push_back(std::move(out));
				}
				reply.body = std::move(result.response.body);
				break;
			}
			return reply;
		}
	}

	request_duty::request_duty(asio::io_context& io, const agent_settings& settings, incarnation own_incarnation,
							   process_metrics& metrics, span_exporter& spans)
		: io_{io},
		  settings_{settings},
		  incarnation_{own_incarnation},
		  acceptor_{io},
		  upstream_{io, *settings.upstream, 64, max_answer_bytes},
		  spans_{spans},
		  rules_{io.get_executor(), ring_capacity,
				 [this](request_rules&& rules)
				 {
					 apply_rules(rules);
				 }},
		  done_{metrics.counter("requests", "Requests by outcome", "outcome", "done")},
		  not_run_{metrics.counter("requests", "Requests by outcome", "outcome", "not-run")},
		  unknown_{metrics.counter("requests", "Requests by outcome", "outcome", "unknown")}
	{
	}

	absl::Status request_duty::listen()
	{
		if (auto status = open_listener(acceptor_, *settings_.requests); !status.ok())
			return status;
		asio::co_spawn(io_, accept_links(), asio::detached);
		asio::co_spawn(io_, watch_queue(), asio::detached);
		asio::co_spawn(io_, summary_loop(), asio::detached);
		return absl::OkStatus();
	}

	asio::awaitable<void> request_duty::accept_links()
	{
		while (acceptor_.is_open())
		{
			auto [error, socket] = co_await acceptor_.async_accept(as_result);
			if (error)
				continue;
			const auto from = std::make_shared<link>(std::move(socket), link_limits{});
			from->start([this, weak = std::weak_ptr<link>(from)](wire::envelope&& message)
						{ handle_message(weak.lock(), std::move(message)); },
						[](const std::string& reason) {
							log_event(event::link_closed, {{"reason", reason}});
						});
			wire::envelope greeting;
			greeting.__isset.hi = true;
			greeting.hi.version = wire_version;
			greeting.hi.process = settings_.worker.str();
			greeting.hi.incarnation = static_cast<std::int64_t>(incarnation_.value);
			(void)from->send(greeting);
		}
	}

	void request_duty::handle_message(const std::shared_ptr<link>& from, wire::envelope&& message)
	{
		if (message.__isset.req)
			handle_request(from, std::move(message.req));
		else if (message.__isset.drop)
			cancel_request(from, message.drop.id);
		else if (message.__isset.hi) // a greeting also serves as a keep-alive and is echoed
			(void)from->send(message);
	}

	void request_duty::handle_request(const std::shared_ptr<link>& from, wire::request&& message)
	{
		const auto key = next_key_++;
		const auto arrived = boottime_now();
		const queued_request queued{key, arrived + millis{message.budget_ms}, message.urgent};
		pending_request request{from, std::move(message), arrived, {}};
		request.trace = start_span(parse_traceparent(request.message.traceparent), "agent");
		const bool other_service = !request.message.service_name.empty() && !settings_.service.empty() &&
								   request.message.service_name != settings_.service.str();
		pending_.emplace(key, std::move(request));
		if (other_service)
		{
			refuse(key, "the worker serves another service", millis{});
			return;
		}
		const auto decision = admit(slots_, queued, arrived);
		pending_count_.store(slots_.running + queue_length(slots_), std::memory_order_relaxed);
		if (decision.action == admission::refused)
			refuse(key, decision.reason, decision.retry_after);
		else if (decision.action == admission::run)
			asio::co_spawn(io_, run(key), asio::detached);
		else
			dispatch_queued();
	}

	void request_duty::cancel_request(const std::shared_ptr<link>& from, std::int64_t id)
	{
		for (const auto& [key, request] : pending_)
		{
			if (request.from != from || request.message.id != id)
				continue;
			const auto queued_key = key;
			if (remove_queued(slots_, queued_key))
				refuse(queued_key, "cancelled while it waited", millis{});
			return;
		}
	}

	asio::awaitable<void> request_duty::run(std::uint64_t key)
	{
		const auto started = boottime_now();
		auto& request = pending_.at(key);
		const auto deadline = request.arrived + millis{request.message.budget_ms};
		auto message = to_http(request.message, request.trace);
		auto result = co_await upstream_.send(std::move(message), deadline);
		const auto duration = std::chrono::duration_cast<micros>(boottime_now() - started);
		release_slot(slots_, duration);
		if (latencies_us_.size() < max_latency_samples)
			latencies_us_.push_back(duration.count());
		auto reply = to_reply(std::move(result));
		reply.service_us = duration.count();
		const auto node = pending_.extract(key);
		answer(node.mapped(), std::move(reply));
		dispatch_queued();
	}

	void request_duty::dispatch_queued()
	{
		const auto next = dequeue(slots_, boottime_now());
		for (const auto key : next.expired)
			refuse(key, "the deadline passed in the queue", millis{});
		for (const auto key : next.start)
			asio::co_spawn(io_, run(key), asio::detached);
		pending_count_.store(slots_.running + queue_length(slots_), std::memory_order_relaxed);
	}

	void request_duty::refuse(std::uint64_t key, const std::string& reason, millis retry_after)
	{
		wire::reply reply;
		reply.how = wire::outcome::not_run;
		reply.reason = reason;
		reply.retry_after_ms = retry_after.count();
		const auto node = pending_.extract(key);
		answer(node.mapped(), std::move(reply));
	}

	void request_duty::answer(pending_request& request, wire::reply&& reply)
	{
		reply.id = request.message.id;
		reply.in_flight = static_cast<std::int32_t>(slots_.running);
		reply.queued = static_cast<std::int32_t>(queue_length(slots_));
		reply.slots = static_cast<std::int32_t>(slots_.limits.slots);
		reply.leaving = slots_.leaving;
		auto& counter = reply.how == wire::outcome::done      ? done_
						: reply.how == wire::outcome::not_run ? not_run_
															  : unknown_;
		counter.Increment();
		end_span(request.trace, reply.how == wire::outcome::done      ? "done"
								: reply.how == wire::outcome::not_run ? "not-run"
																	  : "unknown");
		spans_.offer(std::move(request.trace));
		wire::envelope out;
		out.__isset.rep = true;
		out.rep = std::move(reply);
		(void)request.from->send(out); // if the link is closed, the entry itself reports the outcome as unknown
	}

	void request_duty::apply_rules(const request_rules& rules)
	{
		slots_.limits.slots = rules.slots;
		slots_.limits.queue = rules.queue;
		slots_.leaving = rules.leaving;
		dispatch_queued();
	}

	asio::awaitable<void> request_duty::watch_queue()
	{
		asio::steady_timer timer{io_};
		while (true)
		{
			timer.expires_after(queue_check_interval);
			(void)co_await timer.async_wait(as_result);
			if (queue_length(slots_) > 0)
				dispatch_queued();
		}
	}

	asio::awaitable<void> request_duty::summary_loop()
	{
		asio::steady_timer timer{io_};
		auto from = boottime_now();
		while (true)
		{
			timer.expires_after(settings_.times.heartbeat);
			(void)co_await timer.async_wait(as_result);
			request_summary summary;
			summary.from = from;
			summary.to = boottime_now();
			summary.count = static_cast<std::int64_t>(latencies_us_.size());
			summary.p50_us = percentile(latencies_us_, 0.5);
			summary.p99_us = percentile(latencies_us_, 0.99);
			summary.pending = slots_.running + queue_length(slots_);
			latencies_us_.clear();
			from = summary.to;
			if (summaries_ != nullptr)
				(void)summaries_->push(summary);
		}
	}
}
