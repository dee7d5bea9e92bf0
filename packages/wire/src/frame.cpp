// SPDX-License-Identifier: MIT
#include <trailjunction/wire/frame.hpp>

#include <absl/strings/str_cat.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace trailjunction
{
	using apache::thrift::protocol::TCompactProtocolT;
	using apache::thrift::transport::TMemoryBuffer;

	namespace
	{
		constexpr unsigned byte_bits = 8;

		struct codec
		{
			std::shared_ptr<TMemoryBuffer> buffer = std::make_shared<TMemoryBuffer>();
			TCompactProtocolT<TMemoryBuffer> protocol{buffer};
		};

		/// One codec per thread, so that its buffer is reused for all frames.
		codec& thread_codec()
		{
			thread_local codec local;
			return local;
		}
	}

	std::size_t append_frame(std::string& out, const wire::envelope& message)
	{
		auto& [buffer, protocol] = thread_codec();
		buffer->resetBuffer();
		message.write(&protocol);
		std::uint8_t* data{};
		std::uint32_t size{};
		buffer->getBuffer(&data, &size);
		for (std::size_t i = 0; i < frame_header_bytes; ++i)
			out.push_back(static_cast<char>(size >> (byte_bits * (frame_header_bytes - 1 - i))));
		out.append(reinterpret_cast<const char*>(data), size);
		return frame_header_bytes + size;
	}

	std::uint32_t frame_length(std::string_view header) noexcept
	{
		std::uint32_t length{};
		for (std::size_t i = 0; i < frame_header_bytes; ++i)
			length = (length << byte_bits) | static_cast<std::uint8_t>(header[i]);
		return length;
	}

	absl::StatusOr<wire::envelope> decode_envelope(std::string_view payload)
	{
		auto bytes =
			std::make_shared<TMemoryBuffer>(reinterpret_cast<std::uint8_t*>(const_cast<char*>(
												payload.data())), // NOLINT: TMemoryBuffer::OBSERVE never writes
											static_cast<std::uint32_t>(payload.size()), TMemoryBuffer::OBSERVE);
		// No element of a frame can be larger than the frame, so a larger declared size is rejected before memory is
		// allocated for it.
		const auto max_size = static_cast<std::int32_t>(payload.size());
		TCompactProtocolT<TMemoryBuffer> protocol{bytes, max_size, max_size};
		wire::envelope message;
		try
		{
			message.read(&protocol);
		}
		catch (const std::exception& error)
		{
			return absl::InvalidArgumentError(absl::StrCat("not an envelope: ", error.what()));
		}
		return message;
	}
}
