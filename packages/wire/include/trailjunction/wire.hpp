// SPDX-License-Identifier: MIT
/// \file
/// \brief Umbrella header of the wire package: messages, frames and links between entries and agents.
#pragma once

#include "wire/frame.hpp"
#include "wire/job_messages.hpp"
#include "wire/link.hpp"
