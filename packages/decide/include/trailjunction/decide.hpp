// SPDX-License-Identifier: MIT
/// \file
/// \brief Umbrella header of the decide package: pure decision functions over plain structs; the current time is always
/// a parameter.
#pragma once

#include "decide/process/harm_response.hpp"
#include "decide/process/interference.hpp"
#include "decide/process/journal_record.hpp"
#include "decide/process/membership.hpp"
#include "decide/process/placement.hpp"
#include "decide/process/protocol_times.hpp"
#include "decide/process/quota.hpp"
#include "decide/process/run_report.hpp"
#include "decide/process/run_table.hpp"
#include "decide/process/shard_state.hpp"
#include "decide/process/task_spec.hpp"
#include "decide/process/worker_health.hpp"
#include "decide/process/write_budget.hpp"
#include "decide/request/balance.hpp"
#include "decide/request/concurrency_limit.hpp"
#include "decide/request/retry_budget.hpp"
#include "decide/request/slots.hpp"
#include "decide/version/config_document.hpp"
