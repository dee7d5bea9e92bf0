// SPDX-License-Identifier: MIT
#include <trailjunction/store/row_limits.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace trailjunction
{
	namespace
	{
		/// Bytes of an entry besides its names and its value: the names of its fields, punctuation and a version.
		constexpr std::size_t entry_overhead = 96;
		/// Bytes of a transaction besides its entries.
		constexpr std::size_t transaction_overhead = 64;
		/// Longest form of a byte in a JSON string.
		constexpr std::size_t max_escaped_bytes = 6;

		constexpr std::size_t base64_size(std::size_t bytes) noexcept
		{
			return (bytes + 2) / 3 * 4;
		}

		std::size_t entries_of(const row_transaction& transaction) noexcept
		{
			return transaction.conditions.size() + transaction.put.size() + transaction.remove.size();
		}

		std::size_t name_size(const row_name& name) noexcept
		{
			return entry_overhead + max_escaped_bytes * (name.table.size() + name.key.size());
		}

		absl::Status check_name(const row_name& name, const row_limits& limits)
		{
			if (name.table.size() <= limits.key_bytes && name.key.size() <= limits.key_bytes)
				return absl::OkStatus();
			return absl::InvalidArgumentError(absl::StrCat("a key of table ", name.table.substr(0, limits.key_bytes),
														   " has ", name.key.size(), " bytes, at most ",
														   limits.key_bytes, " are allowed"));
		}

		absl::Status check_value(const row_value& row, const row_limits& limits)
		{
			if (row.value.size() <= limits.value_bytes)
				return absl::OkStatus();
			return absl::InvalidArgumentError(absl::StrCat("row ", row.name.table, "/", row.name.key, " has ",
														   row.value.size(), " bytes, at most ", limits.value_bytes,
														   " are allowed"));
		}
	}

	std::size_t encoded_size(const row_value& row) noexcept
	{
		return name_size(row.name) + base64_size(row.value.size());
	}

	std::size_t encoded_size(const row_transaction& transaction) noexcept
	{
		const auto entries = entries_of(transaction);
		std::size_t out = transaction_overhead + entries * max_escaped_bytes * transaction.partition.size();
		for (const auto& condition : transaction.conditions)
			out += name_size(condition.name);
		for (const auto& row : transaction.put)
			out += encoded_size(row);
		for (const auto& name : transaction.remove)
			out += name_size(name);
		return out;
	}

	transaction_space space_left(const row_transaction& transaction, const row_limits& limits) noexcept
	{
		const auto entries = entries_of(transaction);
		const auto bytes = encoded_size(transaction);
		if (entries > limits.entries || bytes > limits.transaction_bytes)
			return {};
		return {limits.entries - entries, limits.transaction_bytes - bytes};
	}

	bool add_if_fits(row_transaction& transaction, transaction_space& space, std::vector<row_value> put,
					 std::vector<row_name> remove)
	{
		row_transaction added;
		added.partition = transaction.partition;
		added.put = std::move(put);
		added.remove = std::move(remove);
		const auto entries = entries_of(added);
		const auto bytes = encoded_size(added);
		if (entries > space.entries || bytes > space.bytes)
			return false;
		space.entries -= entries;
		space.bytes -= bytes;
		std::move(added.put.begin(), added.put.end(), std::back_inserter(transaction.put));
		std::move(added.remove.begin(), added.remove.end(), std::back_inserter(transaction.remove));
		return true;
	}

	absl::Status check_limits(const row_transaction& transaction, const row_limits& limits)
	{
		const auto entries = entries_of(transaction);
		if (entries > limits.entries)
			return absl::InvalidArgumentError(
				absl::StrCat("the transaction has ", entries, " entries, at most ", limits.entries, " are allowed"));
		for (const auto& condition : transaction.conditions)
			if (auto status = check_name(condition.name, limits); !status.ok())
				return status;
		for (const auto& name : transaction.remove)
			if (auto status = check_name(name, limits); !status.ok())
				return status;
		for (const auto& row : transaction.put)
		{
			if (auto status = check_name(row.name, limits); !status.ok())
				return status;
			if (auto status = check_value(row, limits); !status.ok())
				return status;
		}
		if (const auto bytes = encoded_size(transaction); bytes > limits.transaction_bytes)
			return absl::InvalidArgumentError(absl::StrCat("the transaction has ", bytes, " bytes, at most ",
														   limits.transaction_bytes, " are allowed"));
		return absl::OkStatus();
	}
}
