// SPDX-License-Identifier: MIT
// trailjunction: a scheduler for latency-critical and batch work on the same workers.
/// \file
/// \brief The thread on which all stand-ins of a test run.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <future>
#include <thread>

namespace trailjunction::testkit
{
	/// \brief Runs stand-ins on their own thread; run() gives a test synchronised access to them.
	class standin_thread
	{
	public:
		standin_thread()
			: work_{boost::asio::make_work_guard(io_)},
			  thread_{[this]
					  {
						  io_.run();
					  }}
		{
		}
		~standin_thread()
		{
			stop();
		}
		standin_thread(const standin_thread&) = delete;
		standin_thread& operator=(const standin_thread&) = delete;

		/// \brief Stops and joins the thread, so that stand-ins can be destroyed.
		void stop()
		{
			io_.stop();
			if (thread_.joinable())
				thread_.join();
		}

		[[nodiscard]] boost::asio::io_context& io() noexcept
		{
			return io_;
		}

		/// \brief Runs \p work on the thread and returns its result.
		template <typename Work>
		auto run(Work work) -> decltype(work())
		{
			std::packaged_task<decltype(work())()> task{std::move(work)};
			auto result = task.get_future();
			boost::asio::post(io_, std::move(task));
			return result.get();
		}

	private:
		boost::asio::io_context io_{1};
		boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
		std::thread thread_;
	};
}
