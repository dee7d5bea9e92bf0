// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Jobs: graphs of groups of tasks, their states, and the decisions about them.
#pragma once

#include "jobs/admission.hpp"
#include "jobs/crash_suspicion.hpp"
#include "jobs/evacuation.hpp"
#include "jobs/filler_pacing.hpp"
#include "jobs/filler_pressure.hpp"
#include "jobs/job_configuration.hpp"
#include "jobs/job_fwd.hpp"
#include "jobs/job_ids.hpp"
#include "jobs/job_merit.hpp"
#include "jobs/job_placement.hpp"
#include "jobs/job_rows.hpp"
#include "jobs/job_spec.hpp"
#include "jobs/job_state.hpp"
#include "jobs/job_table.hpp"
#include "jobs/job_tables.hpp"
#include "jobs/load_forecast.hpp"
#include "jobs/ownership.hpp"
#include "jobs/placement_order.hpp"
#include "jobs/planned_moves.hpp"
#include "jobs/queue_policy.hpp"
#include "jobs/refusal_memory.hpp"
#include "jobs/room_forecast.hpp"
#include "jobs/run_lease.hpp"
#include "jobs/run_listing.hpp"
#include "jobs/run_times.hpp"
#include "jobs/upkeep_wave.hpp"
#include "jobs/worker_trust.hpp"
