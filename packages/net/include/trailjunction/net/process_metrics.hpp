// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Prometheus metrics of a process, and its metrics, health and readiness endpoints.
#pragma once

#include "http_message.hpp"
#include "http_server.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace trailjunction
{
	/// \brief The metrics of one process; its counters may be used from any thread.
	class process_metrics
	{
	public:
		process_metrics();

		/// \brief Registers a counter `trailjunction_NAME_total`, with one label if \p label is not empty.
		[[nodiscard]] prometheus::Counter& counter(const std::string& name, const std::string& help,
												   const std::string& label = "", const std::string& value = "");
		/// \brief Registers a gauge `trailjunction_NAME`, with one label if \p label is not empty.
		[[nodiscard]] prometheus::Gauge& gauge(const std::string& name, const std::string& help,
											   const std::string& label = "", const std::string& value = "");
		/// \brief Registers a histogram `trailjunction_NAME_seconds`.
		[[nodiscard]] prometheus::Histogram& histogram(const std::string& name, const std::string& help);

		/// \brief All metrics in the Prometheus text format.
		[[nodiscard]] std::string expose() const;

	private:
		std::shared_ptr<prometheus::Registry> registry_;
	};

	/// \brief Answers GET /metrics, /healthz and /readyz.
	/// \param not_ready Returns why the process is not ready; empty if it is ready.
	/// \returns nullopt if the target is none of these.
	[[nodiscard]] std::optional<http_response> answer_health(const http_request& request,
															 const process_metrics& metrics,
															 const std::function<std::string()>& not_ready);
}
