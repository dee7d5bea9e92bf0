// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Span export as OTLP/JSON.
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
	/// \brief The export duty: a thread that sends spans to a collector in batches, or nowhere.
	/// \details Spans that the ring or the collector does not take are dropped: traces never hold work up.
	class span_exporter
	{
	public:
		/// \param service The name of the process. \param collector Where spans go; absent: nowhere.
		span_exporter(std::string service, std::optional<endpoint> collector);
		~span_exporter();
		span_exporter(const span_exporter&) = delete;
		span_exporter& operator=(const span_exporter&) = delete;

		/// \brief Offers a span that has ended; called by one thread only.
		void offer(span what);

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
