// SPDX-License-Identifier: MIT
/// \file
/// \brief Umbrella header of the store package: transactional row stores, and the platform's table service, object
/// store and instance list.
#pragma once

#include "store/platform_client.hpp"
#include "store/row_store.hpp"
#include "store/store_monitor.hpp"
#include "store/table_row.hpp"
