// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief A bounded queue between two threads: single producer, single consumer.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <utility>

namespace trailjunction
{
	/// \brief A bounded queue from one producing thread to one consuming executor.
	/// \details The handler runs on the consumer's executor. A full ring rejects the value, so that the producer
	/// decides what to do with it. \tparam T A movable type.
	///
	/// \code
	/// ring<load_report> reports{control.get_executor(), 1024, [&](load_report&& report) { apply(report); }};
	/// if (!reports.push(std::move(report)))
	///     ++dropped;
	/// \endcode
	template <typename T>
	class ring
	{
	public:
		using handler = std::function<void(T&&)>;

		ring(boost::asio::any_io_executor consumer, std::size_t capacity, handler on_value)
			: queue_{capacity},
			  consumer_{std::move(consumer)},
			  on_value_{std::move(on_value)}
		{
		}
		ring(const ring&) = delete;
		ring& operator=(const ring&) = delete;

		/// \brief Adds a value to the queue; only the producing thread may call this.
		/// \returns False if the ring is full.
		[[nodiscard]] bool push(T value)
		{
			if (!queue_.push(std::move(value)))
				return false;
			if (!scheduled_.exchange(true))
				boost::asio::post(consumer_, [this] { drain(); });
			return true;
		}

	private:
		void drain()
		{
			scheduled_.store(false);
			queue_.consume_all([this](T& value) { on_value_(std::move(value)); });
		}

		boost::lockfree::spsc_queue<T> queue_;
		boost::asio::any_io_executor consumer_;
		handler on_value_;
		std::atomic<bool> scheduled_{false};
	};
}
