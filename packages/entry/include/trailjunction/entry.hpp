// SPDX-License-Identifier: MIT
/// \file
/// \brief Umbrella header of the entry package.
#pragma once

#include "entry/day_report.hpp"
#include "entry/entry_process.hpp"
#include "entry/job_entry_process.hpp"
#include "entry/job_entry_settings.hpp"
#include "entry/job_gateway.hpp"
#include "entry/job_story.hpp"
#include "entry/query_client.hpp"
#include "entry/settings.hpp"
