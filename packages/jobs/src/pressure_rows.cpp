// SPDX-License-Identifier: MIT
/// \file
/// \brief Encodes and decodes the row of the learnt pressures.
#include "row_codec.hpp"

#include <trailjunction/jobs/job_rows.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace trailjunction
{
	using impl::decode;
	using impl::encode;

	namespace
	{
		/// Bytes of a digest in rows.
		constexpr std::size_t digest_bytes = 16;

		/// Maximum number of bytes of the length of a list.
		constexpr std::size_t max_list_size_bytes = 5;

		void append_big_endian(std::string& out, std::uint64_t number)
		{
			for (int shift = 56; shift >= 0; shift -= 8)
				out.push_back(static_cast<char>(number >> shift));
		}

		std::uint64_t read_big_endian(std::string_view bytes) noexcept
		{
			std::uint64_t out = 0;
			for (const char byte : bytes)
				out = (out << 8U) | static_cast<unsigned char>(byte);
			return out;
		}

		std::string to_bytes(const image_digest& digest)
		{
			std::string out;
			append_big_endian(out, digest.high);
			append_big_endian(out, digest.low);
			return out;
		}

		std::optional<image_digest> digest_from_bytes(std::string_view bytes) noexcept
		{
			if (bytes.size() != digest_bytes)
				return std::nullopt;
			return image_digest{read_big_endian(bytes.substr(0, digest_bytes / 2)),
								read_big_endian(bytes.substr(digest_bytes / 2))};
		}

		/// Size of one pair in the row of pressures; the same for all pairs.
		std::size_t encoded_pair_size()
		{
			stored::pair_pressure pair;
			pair.serving = to_bytes({});
			pair.filler = to_bytes({});
			return encode(pair).size();
		}
	}

	std::string encode_pressures(const pressure_model& model, std::size_t max_bytes)
	{
		std::vector<std::pair<instant, image_pair>> latest;
		for (const auto& [images, pressure] : model.pairs)
			latest.emplace_back(pressure.updated_at, images);
		std::sort(latest.rbegin(), latest.rend());
		stored::pressures row;
		const auto overhead = encode(row).size() + max_list_size_bytes;
		const auto max_pairs = max_bytes < overhead ? 0 : (max_bytes - overhead) / encoded_pair_size();
		latest.resize(std::min(latest.size(), max_pairs));
		for (const auto& [updated_at, images] : latest)
		{
			const auto& learnt = model.pairs.at(images);
			stored::pair_pressure pressure;
			pressure.serving = to_bytes(images.serving);
			pressure.filler = to_bytes(images.filler);
			pressure.mean = learnt.mean;
			pressure.variance = learnt.variance;
			row.pairs.push_back(std::move(pressure));
		}
		return encode(row);
	}

	absl::StatusOr<pressure_model> decode_pressures(std::string_view text, instant now)
	{
		const auto row = decode<stored::pressures>(text);
		if (!row.ok())
			return row.status();
		pressure_model out;
		for (const auto& pair : row->pairs)
		{
			const auto serving = digest_from_bytes(pair.serving);
			const auto filler = digest_from_bytes(pair.filler);
			if (!serving || !filler)
				return absl::DataLossError("a stored pressure does not name its images by digests");
			out.pairs[{*serving, *filler}] = {pair.mean, pair.variance, now};
		}
		return out;
	}

	absl::StatusOr<pressure_model> decode_named_pressures(std::string_view text, instant now)
	{
		const auto row = decode<stored::pressures>(text);
		if (!row.ok())
			return row.status();
		pressure_model out;
		for (const auto& pair : row->pairs)
			out.pairs[make_image_pair(pair.serving, pair.filler)] = {pair.mean, pair.variance, now};
		return out;
	}
}
