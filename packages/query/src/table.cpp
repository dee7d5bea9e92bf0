// SPDX-License-Identifier: MIT
#include <trailjunction/query/table.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <boost/json/array.hpp>

#include <algorithm>
#include <optional>

namespace trailjunction
{
	namespace json = boost::json;

	namespace
	{
		constexpr std::size_t column_gap = 2;

		absl::StatusOr<std::size_t> find_column(const result_table& table, const std::string& field)
		{
			const auto found = std::find(table.columns.begin(), table.columns.end(), field);
			if (found == table.columns.end())
				return absl::InvalidArgumentError(
					absl::StrCat("unknown field '", field, "'; the fields are: ", absl::StrJoin(table.columns, ", ")));
			return static_cast<std::size_t>(found - table.columns.begin());
		}

		/// Compares two cells by value if both are numbers, and as text otherwise.
		int compare(const std::string& left, const std::string& right)
		{
			double left_number{};
			double right_number{};
			if (absl::SimpleAtod(left, &left_number) && absl::SimpleAtod(right, &right_number))
				return left_number < right_number ? -1 : (left_number > right_number ? 1 : 0);
			return left.compare(right);
		}

		bool matches(const std::string& cell, const condition& filter)
		{
			const int order = compare(cell, filter.value);
			switch (filter.op)
			{
			case comparison::equal:
				return order == 0;
			case comparison::unequal:
				return order != 0;
			case comparison::less:
				return order < 0;
			case comparison::greater:
				return order > 0;
			case comparison::at_most:
				return order <= 0;
			case comparison::at_least:
				return order >= 0;
			case comparison::contains:
				break;
			}
			return cell.find(filter.value) != std::string::npos;
		}

		json::array cells_to_json(const std::vector<std::string>& cells)
		{
			json::array out;
			for (const auto& cell : cells)
				out.emplace_back(std::string_view{cell});
			return out;
		}

		std::vector<std::string> cells_from_json(const json::value& value)
		{
			std::vector<std::string> cells;
			if (const auto* array = value.if_array())
				for (const auto& cell : *array)
					cells.emplace_back(cell.is_string() ? std::string{cell.get_string()} : std::string{});
			return cells;
		}
	}

	absl::StatusOr<result_table> select(result_table table, const command& query)
	{
		for (const auto& clause : query.conditions)
		{
			const auto column = find_column(table, clause.field);
			if (!column.ok())
				return column.status();
			std::erase_if(table.rows, [&](const table_cells& row) { return !matches(row[*column], clause); });
		}
		if (query.order)
		{
			const auto column = find_column(table, query.order->field);
			if (!column.ok())
				return column.status();
			std::stable_sort(table.rows.begin(), table.rows.end(),
							 [&](const auto& left, const auto& right)
							 {
								 const int order = compare(left[*column], right[*column]);
								 return query.order->descending ? order > 0 : order < 0;
							 });
		}
		if (query.limit && table.rows.size() > *query.limit)
			table.rows.resize(*query.limit);
		return table;
	}

	std::string render(const result_table& table)
	{
		std::vector<std::size_t> widths;
		for (std::size_t i = 0; i < table.columns.size(); ++i)
		{
			auto width = table.columns[i].size();
			for (const auto& row : table.rows)
				width = std::max(width, row[i].size());
			widths.push_back(width);
		}
		std::string text;
		const auto add_line = [&](const std::vector<std::string>& cells)
		{
			std::string line;
			for (std::size_t i = 0; i < cells.size(); ++i)
				absl::StrAppend(&line, cells[i], std::string(widths[i] - cells[i].size() + column_gap, ' '));
			line.erase(line.find_last_not_of(' ') + 1);
			absl::StrAppend(&text, line, "\n");
		};
		add_line(table.columns);
		for (const auto& row : table.rows)
			add_line(row);
		return text;
	}

	json::object to_json(const result_table& table)
	{
		json::array rows;
		for (const auto& row : table.rows)
			rows.push_back(cells_to_json(row));
		json::object out;
		out["columns"] = cells_to_json(table.columns);
		out["rows"] = std::move(rows);
		return out;
	}

	result_table table_from_json(const json::object& object)
	{
		result_table table;
		if (const auto* columns = object.if_contains("columns"))
			table.columns = cells_from_json(*columns);
		if (const auto* rows = object.if_contains("rows"); rows != nullptr && rows->is_array())
			for (const auto& row : rows->get_array())
			{
				auto cells = cells_from_json(row);
				cells.resize(table.columns.size());
				table.rows.push_back(std::move(cells));
			}
		return table;
	}
}
