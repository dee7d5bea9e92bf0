// SPDX-License-Identifier: MIT
#include "request_forwarder.hpp"

#include <trailjunction/core/event.hpp>
#include <trailjunction/core/random.hpp>
#include <trailjunction/net/coroutines.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		constexpr std::size_t ring_capacity = 64;
		constexpr int max_tries = 4;
		constexpr double latency_smoothing = 0.05;
		constexpr double hedge_deviation_factor = 4;
		constexpr auto min_hedge_delay = millis{3};
		constexpr auto default_retry_after = millis{100};
		constexpr double max_body_bytes = 3.0 * 1024 * 1024;

		http_limits caller_limits()
		{
			http_limits limits;
			limits.max_connections = 16'384;
			limits.max_held_body_bytes = std::size_t{256} * 1024 * 1024;
			return limits;
		}

		wire::reply make_reply(wire::outcome reply_outcome, const std::string& reason)
		{
			wire::reply reply;
			reply.how = reply_outcome;
			reply.reason = reason;
			return reply;
		}

		http_response decode_response(wire::reply& reply)
		{
			http_response response{reply.status, {}, std::move(reply.body)};
			for (auto& field : reply.headers)
				response.headers.push_back({std::move(field.name), std::move(field.value)});
			return response;
		}

		wire::envelope encode_request(const caller_request& request, std::int64_t id, instant now)
		{
			wire::envelope out;
			out.__isset.req = true;
			out.req.id = id;
			out.req.budget_ms =
				std::max<std::int64_t>(1, std::chrono::duration_cast<millis>(request.deadline - now).count());
			out.req.method = request.message.method;
			out.req.target = request.message.target;
			for (const auto& header : request.message.headers)
			{
				wire::header field;
				field.name = header.name;
				field.value = header.value;
				out.req.headers.push_back(std::move(field));
			}
			out.req.body = request.message.body;
			out.req.urgent = request.urgent;
			out.req.traceparent = to_traceparent(request.trace.context, request.trace.id);
			out.req.service_name = request.service.str();
			return out;
		}

		request_result make_refusal(std::string reason, millis retry_after, bool overloaded = false)
		{
			request_result result;
			result.reason = std::move(reason);
			result.retry_after = retry_after;
			result.overloaded = overloaded;
			return result;
		}
	}

	request_forwarder::request_forwarder(asio::io_context& io, const entry_settings& settings,
										 incarnation own_incarnation, process_metrics& metrics, span_exporter& spans)
		: io_{io},
		  settings_{settings},
		  own_incarnation_{own_incarnation},
		  spans_{spans},
		  server_{io, caller_limits(),
				  [this](http_request message)
				  {
					  return serve(std::move(message));
				  }},
		  idempotency_claims_{io, *settings.platform},
		  // Starts at a random value, so that a late reply to an earlier incarnation of this entry matches no try.
		  next_try_id_{static_cast<std::int64_t>(random_u64() >> 2U)},
		  random_{random_u64()},
		  directories_{io.get_executor(), ring_capacity,
					   [this](directory&& update)
					   {
						   apply_directory(std::move(update));
					   }},
		  done_{metrics.counter("requests", "Requests by outcome", "outcome", "done")},
		  not_run_{metrics.counter("requests", "Requests by outcome", "outcome", "not-run")},
		  unknown_{metrics.counter("requests", "Requests by outcome", "outcome", "unknown")},
		  extra_tries_{metrics.counter("extra_tries", "Retries and hedges")},
		  late_answers_{metrics.counter("late_answers", "Answers to tries that were over")},
		  ejections_{metrics.counter("ejections", "Workers taken out of the choice for a while")},
		  latency_{metrics.histogram("request_latency", "Time from a request's arrival to its end")}
	{
	}

	absl::Status request_forwarder::listen()
	{
		return server_.listen(*settings_.callers).status();
	}

	void request_forwarder::stop()
	{
		server_.stop();
	}

	// ------------------------------------------------------------------ requests

	asio::awaitable<http_response> request_forwarder::serve(http_request message)
	{
		const auto arrived = boottime_now();
		if (message.body.size() > max_body_bytes)
			co_return error_response(413, "the body is too large");
		auto parsed = parse_caller_request(std::move(message), config_.deadline, arrived);
		if (!parsed.ok())
		{
			not_run_.Increment();
			auto response = error_response(400, std::string{parsed.status().message()});
			response.headers.push_back({"Trailjunction-Outcome", "not-run"});
			co_return response;
		}
		auto request = *std::move(parsed);
		++in_flight_;
		auto result = co_await claim_and_forward(request);
		--in_flight_;
		auto& counter = result.final_outcome == request_outcome::done      ? done_
						: result.final_outcome == request_outcome::not_run ? not_run_
																		   : unknown_;
		counter.Increment();
		const auto elapsed = std::chrono::duration_cast<micros>(boottime_now() - arrived);
		latency_.Observe(std::chrono::duration<double>(elapsed).count());
		end_span(request.trace, to_string(result.final_outcome));
		spans_.offer(request.trace);
		const auto final_outcome = result.final_outcome;
		completed_request note{request.id, request.service, result.worker,   std::string{to_string(final_outcome)},
							   0,          result.tries,    elapsed.count(), result.reason};
		auto response = to_response(request, std::move(result));
		note.status = response.status;
		if (notes_ != nullptr)
			(void)notes_->push(std::move(note));
		co_return response;
	}

	asio::awaitable<request_result> request_forwarder::claim_and_forward(caller_request& request)
	{
		if (request.repeatable || request.idempotency_key.empty())
			co_return co_await forward(request);
		auto claim = co_await idempotency_claims_.claim(request);
		request_result result;
		switch (claim.claim_result)
		{
		case claim_outcome::claimed:
			result = co_await forward(request);
			idempotency_claims_.record_outcome(std::move(claim), result.final_outcome, result.response);
			break;
		case claim_outcome::replayed:
			result.final_outcome = request_outcome::done;
			result.response = std::move(claim.recorded_response);
			break;
		case claim_outcome::unresolved:
			result.final_outcome = request_outcome::unknown;
			result.reason = "an earlier request with this Idempotency-Key may have run";
			break;
		case claim_outcome::mismatch:
			result = make_refusal("Idempotency-Key: was used for another request", default_retry_after);
			break;
		case claim_outcome::unavailable:
			result = make_refusal("the store did not confirm the Idempotency-Key, so nothing was sent", millis{1'000});
			break;
		}
		co_return result;
	}

	asio::awaitable<request_result> request_forwarder::forward(caller_request request)
	{
		const auto service = services_.find(request.service);
		if (service == services_.end())
			co_return make_refusal(absl::StrCat("no worker serves '", request.service.str(), "'"), millis{1'000});
		if (!try_acquire(service->second.limit))
			co_return make_refusal("the entry holds too many requests of this service", default_retry_after, true);
		const auto name = request.service;
		forward_state state{std::move(request), std::make_shared<request_tries>(io_), {}, {}, false};
		state.hedge_at = state.request.arrived_at + hedge_delay(service->second);
		earn_retry(retry_budget_);
		bool deadline_passed = false;
		bool sent = start_try(state);
		while (sent)
		{
			const bool may_hedge = config_.hedge && state.request.repeatable && !state.hedged;
			auto& wake_timer = state.tries->wake_timer;
			wake_timer.expires_at(
				to_steady_time(may_hedge ? std::min(state.hedge_at, state.request.deadline) : state.request.deadline));
			if (state.tries->any_open())
				(void)co_await wake_timer.async_wait(as_result);
			const auto now = boottime_now();
			deadline_passed = now >= state.request.deadline;
			if (state.tries->find_done() != nullptr || deadline_passed)
				break;
			if (!state.tries->any_open())
			{
				const bool may_retry = state.request.repeatable || !state.tries->any_unknown();
				sent = may_retry && start_extra_try(state);
			}
			else if (may_hedge && now >= state.hedge_at)
			{
				state.hedged = true;
				(void)start_extra_try(state);
			}
		}
		abandon_open_tries(state);
		auto result = make_result(state, deadline_passed);
		if (const auto group = services_.find(name); group != services_.end())
			release(group->second.limit, result.overloaded, boottime_now());
		co_return result;
	}

	bool request_forwarder::start_try(forward_state& state)
	{
		const auto service = services_.find(state.request.service);
		if (service == services_.end())
			return false;
		auto& targets = service->second.targets;
		const auto now = boottime_now();
		const auto chosen = choose_target(targets, state.excluded, settings_.data_centre, policy_, now, random_);
		if (!chosen)
			return false;
		auto& target = targets[*chosen];
		state.excluded.push_back(target.worker);
		const auto connection = connections_.find(target.worker);
		const auto agent_link = connection == connections_.end() ? nullptr : connection->second->current_link();
		request_try attempt;
		attempt.id = next_try_id_++;
		attempt.worker = target.worker;
		attempt.started_at = now;
		if (agent_link)
			attempt.link_sequence = agent_link->send(encode_request(state.request, attempt.id, now));
		if (attempt.link_sequence == 0)
		{
			attempt.open = false;
			attempt.reply = make_reply(wire::outcome::not_run, "the connection to the agent took no more");
		}
		attempt.sent_on = agent_link;
		state.tries->tries.push_back(attempt);
		if (attempt.open)
		{
			record_attempt_sent(target, now);
			open_tries_[attempt.id] = {state.tries, state.tries->tries.size() - 1};
		}
		return true;
	}

	bool request_forwarder::start_extra_try(forward_state& state)
	{
		if (static_cast<int>(state.tries->tries.size()) >= max_tries || !spend_retry(retry_budget_))
			return false;
		if (!start_try(state))
			return false;
		extra_tries_.Increment();
		return true;
	}

	/// Ends the tries that are still open without waiting for them; their late replies are dropped.
	void request_forwarder::abandon_open_tries(forward_state& state)
	{
		const bool done = state.tries->find_done() != nullptr;
		for (auto& attempt : state.tries->tries)
		{
			if (!attempt.open)
				continue;
			open_tries_.erase(attempt.id);
			attempt.open = false;
			attempt.reply = make_reply(wire::outcome::unknown, done ? "another try was faster" : "no answer in time");
			if (const auto* location = find_target(attempt.worker); location != nullptr)
			{
				record_attempt_ended(services_[location->service].targets[location->index], false, boottime_now());
				// A try that lost to a faster one took at least the time waited; a try that missed the deadline failed.
				const double waited =
					std::chrono::duration<double, std::micro>(boottime_now() - attempt.started_at).count();
				(void)record_try_result(*location, {!done, false, waited});
			}
			if (const auto agent_link = attempt.sent_on.lock())
			{
				wire::envelope out;
				out.__isset.drop = true;
				out.drop.id = attempt.id;
				(void)agent_link->send(out);
			}
		}
	}

	request_result request_forwarder::make_result(forward_state& state, bool deadline_passed)
	{
		request_result result;
		result.tries = static_cast<int>(state.tries->tries.size());
		result.deadline_passed = deadline_passed;
		if (auto* done = state.tries->find_done(); done != nullptr)
		{
			result.final_outcome = request_outcome::done;
			result.response = decode_response(done->reply);
			result.worker = done->worker;
			return result;
		}
		result.final_outcome = state.tries->any_unknown() ? request_outcome::unknown : request_outcome::not_run;
		result.reason = "no worker can be used now";
		result.retry_after = default_retry_after;
		for (const auto& attempt : state.tries->tries)
		{
			result.worker = attempt.worker;
			result.reason = attempt.reply.reason;
			result.overloaded = result.overloaded || attempt.reply.retry_after_ms > 0;
			result.retry_after = std::max(result.retry_after, millis{attempt.reply.retry_after_ms});
			if (result.final_outcome == request_outcome::unknown && attempt.reply.how == wire::outcome::unknown)
				break;
		}
		return result;
	}

	millis request_forwarder::hedge_delay(const service_group& group) const
	{
		const double delay_us = group.mean_latency_us + hedge_deviation_factor * group.mean_deviation_us;
		return std::max(min_hedge_delay, millis{static_cast<std::int64_t>(delay_us / 1'000)});
	}

	// ------------------------------------------------------------------ replies

	void request_forwarder::handle_message(const std::shared_ptr<link>& from, wire::envelope&& message)
	{
		if (message.__isset.rep)
			handle_reply(from, std::move(message.rep));
	}

	void request_forwarder::handle_reply(const std::shared_ptr<link>& from, wire::reply&& reply)
	{
		const auto found = open_tries_.find(reply.id);
		const auto request = found == open_tries_.end() ? nullptr : found->second.request.lock();
		if (!request || request->tries[found->second.index].sent_on.lock() != from)
		{
			late_answers_.Increment();
			log_event(event::late_answer_dropped, {{"try", reply.id}});
			return;
		}
		const auto index = found->second.index;
		open_tries_.erase(found);
		end_try(*request, index, std::move(reply));
	}

	void request_forwarder::end_try(request_tries& request, std::size_t index, wire::reply&& reply)
	{
		auto& attempt = request.tries[index];
		attempt.open = false;
		attempt.reply = std::move(reply);
		update_statistics(attempt);
		request.wake_timer.cancel();
	}

	const request_forwarder::target_location* request_forwarder::find_target(const worker_id& worker) const
	{
		const auto found = target_locations_.find(worker);
		return found == target_locations_.end() ? nullptr : &found->second;
	}

	bool request_forwarder::record_try_result(const target_location& location, const attempt_result& observation)
	{
		auto& targets = services_[location.service].targets;
		if (!learn_from_attempt(targets, location.index, observation, policy_, boottime_now()))
			return false;
		ejections_.Increment();
		log_event(event::worker_ejected, {{"worker", targets[location.index].worker.str()}});
		return true;
	}

	void request_forwarder::update_statistics(const request_try& ended)
	{
		const auto* location = find_target(ended.worker);
		if (location == nullptr)
			return;
		auto& group = services_[location->service];
		auto& target = group.targets[location->index];
		const auto now = boottime_now();
		const double elapsed_us = std::chrono::duration<double, std::micro>(now - ended.started_at).count();
		const bool done = ended.reply.how == wire::outcome::done;
		record_attempt_ended(target, ended.reply.how != wire::outcome::unknown, now);
		target.leaving = target.leaving || ended.reply.leaving;
		if (ended.reply.slots > 0)
		{
			target.slots = ended.reply.slots;
			target.reported_load = ended.reply.in_flight + ended.reply.queued;
			target.reported_at = now;
		}
		// A server error is a complete response, but still counts as a failure of the worker.
		const bool failed = ended.reply.how == wire::outcome::unknown || (done && ended.reply.status >= 500);
		const bool refused = ended.reply.how == wire::outcome::not_run;
		(void)record_try_result(*location, {failed, refused, elapsed_us});
		if (!done)
			return;
		const double deviation = elapsed_us - group.mean_latency_us;
		group.mean_latency_us += latency_smoothing * deviation;
		group.mean_deviation_us += latency_smoothing * (std::abs(deviation) - group.mean_deviation_us);
	}

	void request_forwarder::fail_tries(const std::shared_ptr<link>& closed_link)
	{
		struct lost_try
		{
			std::shared_ptr<request_tries> request;
			std::size_t index{};
		};
		std::vector<lost_try> lost_tries;
		for (const auto& [id, candidate] : open_tries_)
			if (auto request = candidate.request.lock();
				request && request->tries[candidate.index].sent_on.lock() == closed_link)
				lost_tries.push_back({std::move(request), candidate.index});
		for (const auto& [request, index] : lost_tries)
		{
			auto& attempt = request->tries[index];
			open_tries_.erase(attempt.id);
			// Only a message that was never written to the socket is certain not to have been sent.
			const bool sent = attempt.link_sequence <= closed_link->last_flushed();
			end_try(*request, index,
					make_reply(sent ? wire::outcome::unknown : wire::outcome::not_run,
							   "the connection to the agent broke"));
		}
	}

}
