// SPDX-License-Identifier: MIT
/// \file
/// \brief Umbrella header of the net package: HTTP over Boost.Beast, endpoints, process metrics, program setup, span
/// export.
#pragma once

#include "net/coroutines.hpp"
#include "net/endpoint.hpp"
#include "net/http_client.hpp"
#include "net/http_message.hpp"
#include "net/http_server.hpp"
#include "net/listener.hpp"
#include "net/process_metrics.hpp"
#include "net/program.hpp"
#include "net/span_exporter.hpp"
