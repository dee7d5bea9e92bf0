// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Exports spans as OTLP/JSON.
#pragma once

#include "http_client.hpp"

#include <trailjunction/core/ring.hpp>
#include <trailjunction/core/trace.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>

#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace trailjunction
{
	/// \brief Sends spans in batches to a collector, from a thread of its own.
	/// \details Spans that do not fit into the ring buffer or that the collector does not accept are dropped, so that
	/// tracing never delays work.
	class span_exporter
	{
	public:
		/// \param service The service name that spans are reported under.
		/// \param collector Where spans are sent; nullopt: spans are discarded.
		span_exporter(std::string service, std::optional<endpoint> collector);
		~span_exporter();
		span_exporter(const span_exporter&) = delete;
		span_exporter& operator=(const span_exporter&) = delete;

		/// \brief Queues an ended span for export; must be called from one thread only.
		void offer(span ended);

	private:
		boost::asio::awaitable<void> export_spans();

		boost::asio::io_context io_;
		boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
		std::string service_;
		std::optional<endpoint> collector_;
		std::vector<span> batch_;
		ring<span> spans_;
		std::thread thread_;
	};
}
