// SPDX-License-Identifier: MIT
#include <trailjunction/core/json.hpp>
#include <trailjunction/core/json_list.hpp>

#include <algorithm>
#include <utility>

namespace trailjunction
{
	namespace
	{
		/// Finds the extents of values by their brackets and quotes, without recursion.
		class json_scanner
		{
		public:
			explicit json_scanner(std::string_view text) noexcept : text_{text} {}

			/// Skips white space, and the character if it is next.
			[[nodiscard]] bool accept(char wanted) noexcept
			{
				skip_space();
				const bool found = position_ < text_.size() && text_[position_] == wanted;
				position_ += found ? 1 : 0;
				return found;
			}

			[[nodiscard]] bool is_at_end() noexcept
			{
				skip_space();
				return position_ == text_.size();
			}

			/// The text of the next value; empty if there is none or it does not end.
			[[nodiscard]] std::string_view next_value() noexcept
			{
				skip_space();
				const auto begin = position_;
				std::size_t depth = 0;
				do
				{
					if (position_ == text_.size())
						return {};
					const char next = text_[position_];
					if (next == '"')
						skip_string();
					else if (is_end_of_scalar(next) && depth == 0)
						break;
					else
						++position_;
					if (next == '[' || next == '{')
						++depth;
					else if (next == ']' || next == '}')
						--depth;
				} while (depth > 0 || continues_scalar(begin));
				return text_.substr(begin, position_ - begin);
			}

		private:
			static bool is_space(char c) noexcept
			{
				return c == ' ' || c == '\t' || c == '\n' || c == '\r';
			}

			static bool is_end_of_scalar(char c) noexcept
			{
				return is_space(c) || c == ',' || c == ':' || c == ']' || c == '}';
			}

			/// Whether the value is a number or a word that goes on.
			[[nodiscard]] bool continues_scalar(std::size_t begin) const noexcept
			{
				const char first = text_[begin];
				return first != '"' && first != '[' && first != '{' && position_ < text_.size() &&
					   !is_end_of_scalar(text_[position_]);
			}

			void skip_space() noexcept
			{
				while (position_ < text_.size() && is_space(text_[position_]))
					++position_;
			}

			void skip_string() noexcept
			{
				++position_;
				while (position_ < text_.size() && text_[position_] != '"')
					position_ += text_[position_] == '\\' ? 2 : 1;
				position_ = std::min(position_ + 1, text_.size());
			}

			std::string_view text_;
			std::size_t position_{};
		};

		/// Reads values that are separated by commas up to a closing bracket.
		/// \param read Reads one of them; returns false if it can't.
		/// \returns Whether the text ends after the bracket.
		template <typename Read>
		bool read_separated(json_scanner& scanner, char closing, Read read)
		{
			if (!scanner.accept(closing))
			{
				do
					if (!read())
						return false;
				while (scanner.accept(','));
				if (!scanner.accept(closing))
					return false;
			}
			return scanner.is_at_end();
		}
	}

	absl::StatusOr<json_list> parse_json_list(std::string_view text)
	{
		json_list out;
		json_scanner scanner{text};
		const auto read_entry = [&]
		{
			const auto entry_text = scanner.next_value();
			if (entry_text.empty())
				return false;
			auto entry = parse_json(entry_text);
			if (entry.ok())
				out.entries.push_back(*std::move(entry));
			else if (out.unreadable++ == 0)
				out.error = entry.status();
			return true;
		};
		if (!scanner.accept('[') || !read_separated(scanner, ']', read_entry))
			return absl::InvalidArgumentError("invalid JSON: not an array");
		return out;
	}

	absl::StatusOr<std::string_view> json_member_text(std::string_view text, std::string_view name)
	{
		std::string_view found;
		json_scanner scanner{text};
		const auto read_member = [&]
		{
			const auto key = scanner.next_value();
			if (key.size() < 2 || key.front() != '"' || !scanner.accept(':'))
				return false;
			const auto value = scanner.next_value();
			if (key.substr(1, key.size() - 2) == name)
				found = value;
			return !value.empty();
		};
		if (!scanner.accept('{') || !read_separated(scanner, '}', read_member))
			return absl::InvalidArgumentError("invalid JSON: not an object");
		return found;
	}
}
