// SPDX-License-Identifier: MIT
/// \file
/// \brief Umbrella header of the core package: identifiers, units, JSON settings, log events and trace contexts.
#pragma once

#include "core/event.hpp"
#include "core/field_reader.hpp"
#include "core/ids.hpp"
#include "core/json.hpp"
#include "core/json_list.hpp"
#include "core/log_writer.hpp"
#include "core/random.hpp"
#include "core/request_outcome.hpp"
#include "core/ring.hpp"
#include "core/strong_id.hpp"
#include "core/trace.hpp"
#include "core/units.hpp"
