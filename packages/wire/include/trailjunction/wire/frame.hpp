// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Encoding of envelopes into frames.
#pragma once

#include <wire_types.h>

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace trailjunction
{
	/// \brief The version that this build speaks, sent in every hello.
	inline constexpr std::int32_t wire_version = 1;

	/// \brief Bytes of the length in front of each frame, most significant first.
	inline constexpr std::size_t frame_head_bytes = 4;

	/// \brief Appends one frame to \p out.
	/// \returns The bytes that were appended.
	std::size_t append_frame(std::string& out, const wire::envelope& message);

	/// \brief The length that a frame's head states.
	[[nodiscard]] std::uint32_t frame_length(std::string_view head) noexcept;

	/// \brief Decodes the payload of one frame; invalid_argument where it is no envelope.
	[[nodiscard]] absl::StatusOr<wire::envelope> decode_envelope(std::string_view payload);
}
