// SPDX-License-Identifier: MIT
/// \file
/// \brief Umbrella header of the entry package.
#pragma once

#include "entry/entry_process.hpp"
#include "entry/job_entry_process.hpp"
#include "entry/job_entry_settings.hpp"
#include "entry/job_gateway.hpp"
#include "entry/job_timeline.hpp"
#include "entry/log_report.hpp"
#include "entry/query_client.hpp"
#include "entry/settings.hpp"
