// SPDX-License-Identifier: MIT
/// \file
/// \brief Enforces the size limits of the platform's store in front of the project's rows_standin.
#pragma once

#include <trailjunction/net/http_client.hpp>
#include <trailjunction/net/http_server.hpp>

#include <boost/asio/io_context.hpp>

#include <cstddef>

namespace review
{
	/// \brief The limits that PROTOCOL.md and the settings of the sites state for the store.
	struct store_limits
	{
		std::size_t row_bytes{65'536};               ///< Of a value before base64.
		std::size_t transaction_bytes{1'000'000};    ///< Of the whole body.
		std::size_t transaction_entries{100};        ///< Conditions, rows to put and rows to remove.
	};

	/// \brief Forwards calls to a store; rejects transactions beyond the limits with 400, and does nothing then.
	class row_store_gate
	{
	public:
		row_store_gate(boost::asio::io_context& io, trailjunction::endpoint store, store_limits limits);

		[[nodiscard]] trailjunction::endpoint listen();

		/// Table whose transactions get no answer and are applied #late_by later; empty for none.
		std::string late_table;
		trailjunction::millis late_by{};
		int made_late{}; ///< Transactions that got no answer.
		int total{};     ///< All transactions.

		int rejected{};                    ///< Transactions beyond a limit.
		std::size_t largest_rejected{};    ///< Size of the largest value that was rejected, in bytes.
		std::string rejected_table;        ///< Table of the row that was last rejected.
		std::size_t largest_accepted{};    ///< Size of the largest value that was accepted, in bytes.

	private:
		boost::asio::awaitable<trailjunction::http_response> answer(trailjunction::http_request request);
		[[nodiscard]] bool is_within_limits(const std::string& body);
		[[nodiscard]] bool writes_late_table(const std::string& body) const;
		boost::asio::awaitable<void> apply_late(trailjunction::http_request request, trailjunction::millis delay);

		boost::asio::io_context& io_;
		trailjunction::http_client client_;
		store_limits limits_;
		trailjunction::http_server server_;
	};
}
