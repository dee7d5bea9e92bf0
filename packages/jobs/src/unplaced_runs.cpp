// SPDX-License-Identifier: MIT
#include <trailjunction/jobs/unplaced_runs.hpp>

namespace trailjunction
{
	void update_unplaced_runs(unplaced_runs& known, const unplaced_run_report& report)
	{
		if (report.full)
			known.clear();
		for (const auto& run_id : report.gone)
			known.erase(run_id);
		// A late order may have started a run after it was refused.
		known.insert(report.running.begin(), report.running.end());
	}
}
