// SPDX-License-Identifier: MIT
/// \file
/// \brief Umbrella header of the query package: the operators' command language and its result tables.
#pragma once

#include "query/command.hpp"
#include "query/parse.hpp"
#include "query/table.hpp"
