// SPDX-License-Identifier: MIT
/// \file
/// \brief Encodes rows in Thrift's compact protocol. Internal to the package.
#pragma once

#include <absl/status/statusor.h>
#include <absl/strings/str_cat.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <cstdint>
#include <exception>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace trailjunction::impl
{
	using apache::thrift::protocol::TCompactProtocolT;
	using apache::thrift::transport::TMemoryBuffer;

	/// \brief Encodes a generated struct.
	template <typename Row>
	[[nodiscard]] std::string encode(const Row& row)
	{
		const auto buffer = std::make_shared<TMemoryBuffer>();
		TCompactProtocolT<TMemoryBuffer> protocol{buffer};
		row.write(&protocol);
		return buffer->getBufferAsString();
	}

	/// \brief Decodes encode()'s text; data_loss if it is malformed.
	template <typename Row>
	[[nodiscard]] absl::StatusOr<Row> decode(std::string_view text)
	{
		const auto buffer = std::make_shared<TMemoryBuffer>(
			reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data())), // NOLINT: OBSERVE never writes
			static_cast<std::uint32_t>(text.size()), TMemoryBuffer::OBSERVE);
		const auto size_limit = static_cast<std::int32_t>(text.size());
		TCompactProtocolT<TMemoryBuffer> protocol{buffer, size_limit, size_limit};
		Row row;
		try
		{
			row.read(&protocol);
		}
		catch (const std::exception& fault)
		{
			return absl::DataLossError(absl::StrCat("a stored row cannot be read: ", fault.what()));
		}
		return row;
	}

	/// \brief Divides items into parts whose sizes differ by one at most.
	/// \param parts Number of parts; limited to the number of items.
	template <typename Item>
	[[nodiscard]] std::vector<std::span<const Item>> even_parts(std::span<const Item> items, std::size_t parts)
	{
		std::vector<std::span<const Item>> out;
		for (auto left = std::min(parts, items.size()); left > 0; --left)
		{
			out.push_back(items.first(items.size() / left));
			items = items.subspan(out.back().size());
		}
		return out;
	}
}
