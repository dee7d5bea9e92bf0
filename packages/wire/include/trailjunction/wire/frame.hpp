// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief Encodes envelopes as length-prefixed frames, and decodes them.
#pragma once

#include <wire_types.h>

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace trailjunction
{
	/// \brief Protocol version of this build; sent in every hello.
	inline constexpr std::int32_t wire_version = 1;

	/// \brief Size of the length prefix of each frame; the length is big-endian.
	inline constexpr std::size_t frame_header_bytes = 4;

	/// \brief Appends one frame to \p out.
	/// \returns The number of bytes appended.
	std::size_t append_frame(std::string& out, const wire::envelope& message);

	/// \brief The payload length in a frame's header.
	/// \param header At least frame_header_bytes bytes.
	[[nodiscard]] std::uint32_t frame_length(std::string_view header) noexcept;

	/// \brief Decodes the payload of one frame; invalid_argument if it is not an envelope.
	[[nodiscard]] absl::StatusOr<wire::envelope> decode_envelope(std::string_view payload);
}
