/// \file
/// \brief Case 9: the learnt pressures of some hundred pairs of images with long names stop the whole deployment.
#include <site.hh>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <map>
#include <thread>

using namespace review;

namespace
{
	constexpr int serving_images = 20;
	constexpr int filling_images = 16;
	constexpr auto idle_limit = millis{3'000};  // LOST: "a job has nothing running for 3 s"
	constexpr auto watched_for = millis{40'000};
	constexpr auto finish = millis{14'000}; // finish_s

	/// A name as container registries give it, with the digest of the content.
	std::string image_name(const char* what, int number)
	{
		return absl::StrFormat("registry.tally.example/%s@sha256:%064x", what, 0x9e3779b97f4a7c15ULL * (static_cast<unsigned>(number) + 1));
	}
	std::string short_name(const char* what, int number)
	{
		return absl::StrCat(std::string(1, what[0]), number);
	}

	const std::string small_job = R"({"spec":"100","phases":[{"count":2,"cpu":250,"memMb":16,"estimateMs":100}]})";

	struct accepted_job
	{
		std::string id;
		instant accepted_at;
	};
}

int main(int argc, char** argv)
{
	if (argc != 3)
		return could_not_run;
	recorder record{argv[2]};
	site_options options;
	options.programs = argv[1];
	options.figures = {{'c', 4}, {'d', 400}}; // a tail of 4 ms, and 0.4 cores
	options.lasting = "cd";
	site system{options, record};
	if (!system.wait_ready())
	{
		record.line("the deployment did not become ready");
		return could_not_run;
	}
	// Without the disruption the same jobs come with short names of images.
	std::string (*const name)(const char*, int) = with_trouble() ? image_name : short_name;
	for (int i = 0; i < serving_images; ++i)
	{
		const auto body = absl::StrCat(R"({"spec":"600000","phases":[{"count":3,"cpu":500,"memMb":64,"estimateMs":400,)"
									   R"("longRunning":true,"antiAffinity":1,"target_ms":100,"image":")",
									   name("flock-watch", i), R"("}]})");
		if (system.submit(i % 3, "c" + job_id_of(static_cast<std::uint64_t>(i)).substr(1), body) != 200)
			return could_not_run;
	}
	if (!wait_until([&] { return system.at_work() == 3U * serving_images; }, millis{15'000}))
		return could_not_run;
	for (int i = 0; i < filling_images; ++i)
	{
		const auto body = absl::StrCat(R"({"spec":"600000","phases":[{"count":3,"cpu":400,"memMb":64,"estimateMs":30000,)"
									   R"("fills":true,"longRunning":true,"antiAffinity":1,"image":")",
									   name("weekend-merge", i), R"("}]})");
		if (system.submit(i % 3, "d" + job_id_of(static_cast<std::uint64_t>(i)).substr(1), body) != 200)
			return could_not_run;
	}

	std::vector<accepted_job> small;
	const auto until = boottime_now() + watched_for;
	for (std::uint64_t number = 1; boottime_now() < until; ++number)
	{
		const auto id = job_id_of(0xa000 + number);
		if (system.submit(static_cast<int>(number % 3), id, small_job) == 200)
			small.push_back({id, boottime_now()});
		std::this_thread::sleep_for(millis{1'000});
		if (number % 5 == 0)
			record.line(system.with_store(
				[&](memory_store&, limited_store& store)
				{
					return absl::StrCat("store: largest value ", store.largest_value, " bytes, ",
										store.refused_transactions, " transactions beyond a limit refused, the latest for ",
										store.last_refusal.empty() ? "nothing" : store.last_refusal);
				}));
		if (number % 5 == 0)
			record.line(absl::StrCat("workers: ", system.started_runs().size(), " starts so far, ", system.at_work(),
									 " tasks at work; owner: entry ", system.owner() + 1));
	}
	std::this_thread::sleep_for(finish);

	std::map<std::string, std::size_t> starts;
	for (const auto& run : system.started_runs())
		++starts[run.task.substr(0, run.task.find('.'))];
	std::size_t lost = 0;
	for (const auto& job : small)
	{
		const auto state = system.state(0, job.id);
		const bool never_begun = starts[job.id] == 0 && boottime_now() - job.accepted_at > idle_limit;
		if (never_begun || state != "completed")
			record.line(absl::StrCat("accepted job ", job.id, ": state ", state, ", ", starts[job.id], " starts"));
		lost += never_begun ? 1 : 0;
	}
	record.line(absl::StrCat("lasting tasks at work now: ", system.at_work(), " of ", 3 * (serving_images + filling_images)));
	record.line(absl::StrCat(lost, " of ", small.size(), " accepted small jobs were never begun"));
	record.line(lost > 0 ? "LOST: broken" : "LOST: held");
	return lost > 0 ? rule_broken : rule_held;
}
