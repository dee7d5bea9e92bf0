// SPDX-License-Identifier: MIT
/// \file
/// \brief Encodes and decodes the rows of the owner of the shard.
#include "row_codec.hpp"

#include <trailjunction/jobs/job_rows.hpp>

#include <algorithm>
#include <iterator>
#include <span>
#include <utility>

namespace trailjunction
{
	using impl::decode;
	using impl::encode;
	using impl::even_parts;

	namespace
	{
		/// Encodes depths in rows of limited size.
		/// \returns Whether that is possible.
		bool append_depths(std::vector<std::string>& out, std::span<const stored::queue_depth> depths,
						   std::size_t max_row_bytes)
		{
			stored::ownership row;
			row.depths.assign(depths.begin(), depths.end());
			auto text = encode(row);
			if (text.size() <= max_row_bytes)
			{
				out.push_back(std::move(text));
				return true;
			}
			if (depths.size() < 2)
				return false;
			for (const auto part : even_parts(depths, text.size() / max_row_bytes + 1))
				if (!append_depths(out, part, max_row_bytes))
					return false;
			return true;
		}
	}

	std::string encode_ownership(const stored::ownership& row)
	{
		return encode(row);
	}

	absl::StatusOr<stored::ownership> decode_ownership(std::string_view row)
	{
		return decode<stored::ownership>(row);
	}

	std::vector<std::string> encode_ownership(const stored::ownership& row, std::size_t max_row_bytes,
											  std::size_t max_rows)
	{
		if (auto whole = encode(row); whole.size() <= max_row_bytes)
			return {std::move(whole)};
		auto base = row;
		base.depths.clear();
		base.room = {};
		std::vector<std::string> further;
		if (!append_depths(further, row.depths, max_row_bytes) || further.size() >= max_rows)
		{
			further.clear();
			base.loaded = false;
		}
		stored::ownership forecast;
		forecast.room = row.room;
		if (auto text = encode(forecast); text.size() <= max_row_bytes && further.size() + 1 < max_rows)
			further.push_back(std::move(text));
		std::vector<std::string> out{encode(base)};
		std::move(further.begin(), further.end(), std::back_inserter(out));
		return out;
	}

	absl::Status decode_further_ownership(stored::ownership& row, std::string_view further)
	{
		auto decoded = decode<stored::ownership>(further);
		if (!decoded.ok())
			return decoded.status();
		std::move(decoded->depths.begin(), decoded->depths.end(), std::back_inserter(row.depths));
		if (decoded->room.made_ms != 0)
			row.room = std::move(decoded->room);
		return absl::OkStatus();
	}
}
