// SPDX-License-Identifier: MIT
#include <trailjunction/query/parse.hpp>

#include <absl/strings/str_cat.h>
#include <boost/fusion/include/adapt_struct.hpp>
#include <boost/spirit/home/x3.hpp>

#include <algorithm>

BOOST_FUSION_ADAPT_STRUCT(trailjunction::condition, field, op, value)
BOOST_FUSION_ADAPT_STRUCT(trailjunction::command_option, name, value)

namespace trailjunction
{
	namespace x3 = boost::spirit::x3;

	namespace
	{
		using iterator = std::string_view::const_iterator;

		// ---------------------------------------------------------------- keywords

		struct comparison_words : x3::symbols<comparison>
		{
			comparison_words()
			{
				add("=", comparison::equal)("!=", comparison::unequal)("<=", comparison::at_most)(
					">=", comparison::at_least)("<", comparison::less)(">", comparison::greater)("contains",
																								 comparison::contains);
			}
		} const comparison_word;

		struct listed_words : x3::symbols<noun>
		{
			listed_words()
			{
				add("workers", noun::workers)("services", noun::services)("tasks", noun::tasks)(
					"requests", noun::requests)("config", noun::config)("accounts", noun::accounts)(
					"members", noun::members)("shards", noun::shards);
			}
		} const listed_word;

		const auto word_end = !(x3::alnum | '_');
		const auto keyword = [](const char* text)
		{
			return x3::lexeme[x3::lit(text) >> word_end];
		};

		// ---------------------------------------------------------------- rules

		const x3::rule<struct bare_tag, std::string> bare{"a word"};
		const x3::rule<struct quoted_tag, std::string> quoted{"a text in quotes"};
		const x3::rule<struct name_tag, std::string> name{"a name"};
		const x3::rule<struct value_tag, std::string> value{"a value"};
		const x3::rule<struct field_tag, std::string> field{"a field"};
		const x3::rule<struct resolution_tag, std::string> resolution{"done or retry"};
		const x3::rule<struct option_tag, command_option> option{"an option"};
		const x3::rule<struct condition_tag, condition> compare{"a condition"};

		const auto reserved = keyword("if") | keyword("where") | keyword("order") | keyword("limit");
		const auto bare_def = x3::lexeme[+(x3::graph - '"' - ',')];
		const auto quoted_def = x3::lexeme['"' > *(('\\' > x3::char_) | (x3::char_ - '"' - '\\')) > '"'];
		const auto name_def = quoted | bare;
		const auto value_def = quoted | bare;
		const auto field_def = x3::lexeme[x3::alpha >> *(x3::alnum | x3::char_('_'))];
		const auto resolution_def = x3::lexeme[(x3::string("done") | x3::string("retry")) >> word_end];
		const auto option_def = !reserved >> field > value;
		const auto compare_def = field > comparison_word > value;
		BOOST_SPIRIT_DEFINE(bare, quoted, name, value, field, resolution, option, compare)

		/// Parser context: the command that the semantic actions fill in.
		struct builder
		{
			command out;
		};

		template <typename Change>
		auto edit_command(Change edit)
		{
			return [edit](auto& context)
			{
				edit(x3::get<builder>(context).get().out, x3::_attr(context));
			};
		}

		auto set_verb(verb action)
		{
			return [action](auto& context)
			{
				x3::get<builder>(context).get().out.action = action;
			};
		}

		auto set_noun(noun object_type)
		{
			return [object_type](auto& context)
			{
				x3::get<builder>(context).get().out.target = object_type;
			};
		}

		const auto set_subject = edit_command([](command& out, const std::string& text) { out.subject = text; });
		const auto add_option =
			edit_command([](command& out, const command_option& item) { out.options.push_back(item); });
		const auto add_condition =
			edit_command([](command& out, const condition& item) { out.conditions.push_back(item); });
		const auto add_resolution = edit_command(
			[](command& out, const std::string& text) {
				out.options.push_back({"as", text});
			});
		const auto add_target = edit_command(
			[](command& out, const std::string& text) {
				out.options.push_back({"on", text});
			});
		const auto add_for = edit_command(
			[](command& out, const std::string& text) {
				out.options.push_back({"for", text});
			});
		const auto add_value = edit_command(
			[](command& out, const std::string& text) {
				out.options.push_back({"to", text});
			});
		const auto set_order = edit_command(
			[](command& out, const std::string& text) {
				out.order = ordering{text, false};
			});
		const auto set_descending = edit_command([](command& out, const auto&) { out.order->descending = true; });
		const auto set_limit = edit_command([](command& out, std::uint64_t count) { out.limit = count; });
		const auto set_version = edit_command([](command& out, std::uint64_t count) { out.if_version = count; });
		const auto set_negated = edit_command([](command& out, const auto&) { out.negated = true; });
		const auto set_explain = edit_command([](command& out, const auto&) { out.explain_only = true; });
		const auto set_listed = edit_command([](command& out, noun object_type) { out.target = object_type; });

		const auto where = keyword("where") > compare[add_condition] % keyword("and");
		const auto order = keyword("order") > keyword("by") > field[set_order] > -keyword("desc")[set_descending];
		const auto limit = keyword("limit") > x3::uint64[set_limit];
		const auto version = keyword("if") > keyword("version") > x3::uint64[set_version];
		const auto options = *option[add_option];
		const auto task = keyword("task")[set_noun(noun::task)] > name[set_subject];
		const auto service = keyword("service")[set_noun(noun::service)] > name[set_subject];
		const auto worker = keyword("worker")[set_noun(noun::worker)] > name[set_subject];
		const auto account = keyword("account")[set_noun(noun::account)] > name[set_subject];

		const auto show = keyword("show")[set_verb(verb::show)] > x3::lexeme[listed_word[set_listed] >> word_end] >
						  -where > -order > -limit;
		const auto why_not = keyword("not")[set_negated] > worker > keyword("for") > keyword("task") > name[add_for];
		const auto why = keyword("why")[set_verb(verb::why)] > (why_not | task | service | worker);
		const auto submit = keyword("submit")[set_verb(verb::submit)] > (task | service) > options;
		const auto place = keyword("place")[set_verb(verb::place)] > task > keyword("on") > name[add_target];
		const auto drain = keyword("drain")[set_verb(verb::drain)] > worker > options > -version;
		const auto undrain = keyword("undrain")[set_verb(verb::undrain)] > worker > -version;
		const auto cancel = keyword("cancel")[set_verb(verb::cancel)] >
							(task | (keyword("tasks")[set_noun(noun::tasks)] > where));
		const auto reserve = keyword("reserve")[set_verb(verb::reserve)] > worker > options > -version;
		const auto quota = keyword("quota")[set_verb(verb::quota)] > account > options > -version;
		const auto set = keyword("set")[set_verb(verb::set)] > name[set_subject] > value[add_value] > -version;
		const auto resolve = keyword("resolve")[set_verb(verb::resolve)] > task >
							 keyword("as") > resolution[add_resolution];
		const auto adopt = keyword("adopt")[set_verb(verb::adopt)] > task > keyword("on") > name[add_target] > options;
		const auto release = keyword("release")[set_verb(verb::release)] > task;

		const auto statement =
			show | why | submit | place | drain | undrain | cancel | reserve | quota | set | resolve | adopt | release;
		const auto full_command = -keyword("explain")[set_explain] >> statement > x3::eoi;

		absl::Status error_at(std::string_view text, std::ptrdiff_t offset, const std::string& expected)
		{
			const auto found =
				offset >= static_cast<std::ptrdiff_t>(text.size())
					? std::string{"the end"}
					: absl::StrCat("'", std::string{text.substr(static_cast<std::size_t>(offset), 20)}, "'");
			return absl::InvalidArgumentError(absl::StrCat("column ", offset + 1, ": ", expected, " expected, found ",
														   found, "\n  ", std::string{text}, "\n  ",
														   std::string(static_cast<std::size_t>(offset), ' '), "^"));
		}

		/// Translates the name of a failed parser for an error message. Spirit names parsers other than rules by their
		/// C++ types, so the type names matched here must stay as they are declared above.
		std::string describe_expected(const std::string& parser_name)
		{
			if (parser_name.find("eoi") != std::string::npos || parser_name.find("eps") != std::string::npos)
				return "the end";
			if (parser_name.find("uint") != std::string::npos)
				return "a whole number";
			if (parser_name.find("comparison_words") != std::string::npos)
				return "a comparison (=, !=, <, >, <=, >=, contains)";
			if (parser_name.find("listed_words") != std::string::npos ||
				parser_name.find("symbols") != std::string::npos)
				return "workers, services, tasks, requests, config, accounts, members or shards";
			if (parser_name.find("resolution") != std::string::npos)
				return "done or retry";
			if (parser_name.find("name_tag") != std::string::npos)
				return "a name";
			if (parser_name.find("value_tag") != std::string::npos)
				return "a value";
			if (parser_name.find("field_tag") != std::string::npos)
				return "a field";
			if (parser_name.find("condition_tag") != std::string::npos)
				return "a condition";
			if (parser_name.find("boost") != std::string::npos)
				return "another word";
			return parser_name;
		}
	}

	absl::StatusOr<command> parse_command(std::string_view text)
	{
		builder parse_state;
		auto position = text.begin();
		const auto end = text.end();
		try
		{
			const auto grammar = x3::with<builder>(std::ref(parse_state))[full_command];
			if (x3::phrase_parse(position, end, grammar, x3::space))
				return parse_state.out;
		}
		catch (const x3::expectation_failure<iterator>& failure)
		{
			auto place = failure.where();
			while (place != end && *place == ' ')
				++place;
			return error_at(text, place - text.begin(), describe_expected(failure.which()));
		}
		return error_at(
			text, 0,
			"a command (show, why, submit, place, drain, undrain, cancel, reserve, quota, set, resolve, adopt, "
			"release, explain)");
	}
}
