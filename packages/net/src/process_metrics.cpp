// SPDX-License-Identifier: MIT
#include <trailjunction/net/process_metrics.hpp>

#include <prometheus/text_serializer.h>

namespace trailjunction
{
	namespace
	{
		const prometheus::Histogram::BucketBoundaries duration_buckets_s{
			0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};

		prometheus::Labels labels_of(const std::string& label, const std::string& value)
		{
			return label.empty() ? prometheus::Labels{} : prometheus::Labels{{label, value}};
		}
	}

	process_metrics::process_metrics() : registry_{std::make_shared<prometheus::Registry>()} {}

	prometheus::Counter& process_metrics::counter(const std::string& name, const std::string& help,
												  const std::string& label, const std::string& value)
	{
		auto& family =
			prometheus::BuildCounter().Name("trailjunction_" + name + "_total").Help(help).Register(*registry_);
		return family.Add(labels_of(label, value));
	}

	prometheus::Gauge& process_metrics::gauge(const std::string& name, const std::string& help,
											  const std::string& label, const std::string& value)
	{
		auto& family = prometheus::BuildGauge().Name("trailjunction_" + name).Help(help).Register(*registry_);
		return family.Add(labels_of(label, value));
	}

	prometheus::Histogram& process_metrics::histogram(const std::string& name, const std::string& help)
	{
		auto& family =
			prometheus::BuildHistogram().Name("trailjunction_" + name + "_seconds").Help(help).Register(*registry_);
		return family.Add({}, duration_buckets_s);
	}

	std::string process_metrics::expose() const
	{
		return prometheus::TextSerializer{}.Serialize(registry_->Collect());
	}

	std::optional<http_response> answer_health(const http_request& request, const process_metrics& metrics,
											   const std::function<std::string()>& not_ready)
	{
		const auto path = path_of(request.target);
		if (path == "/metrics")
			return http_response{200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics.expose()};
		if (path == "/healthz")
			return http_response{200, {{"Content-Type", "text/plain"}}, "ok\n"};
		if (path != "/readyz")
			return std::nullopt;
		const auto reason = not_ready();
		if (reason.empty())
			return http_response{200, {{"Content-Type", "text/plain"}}, "ready\n"};
		return error_response(503, reason);
	}
}
