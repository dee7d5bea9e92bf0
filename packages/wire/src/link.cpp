// SPDX-License-Identifier: MIT
#include <trailjunction/core/event.hpp>
#include <trailjunction/wire/link.hpp>

#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace trailjunction
{
	namespace asio = boost::asio;

	namespace
	{
		constexpr std::size_t read_buffer_bytes = std::size_t{64} * 1024;
	}

	link::link(asio::ip::tcp::socket socket, link_limits limits)
		: socket_{std::move(socket)},
		  idle_timer_{socket_.get_executor()},
		  limits_{limits}
	{
		boost::system::error_code ignored;
		socket_.set_option(asio::ip::tcp::no_delay{true}, ignored);
	}

	void link::start(message_handler on_message, close_handler on_close)
	{
		on_message_ = std::move(on_message);
		on_close_ = std::move(on_close);
		watch_idle();
		await_readable();
	}

	std::uint64_t link::send(const wire::envelope& message)
	{
		if (!open_ || pending_bytes() > limits_.max_pending_bytes)
			return 0;
		append_frame(pending_, message);
		const auto number = ++last_queued_;
		if (writing_.empty() && !flush_posted_)
		{
			// Posted, so that all messages of one iteration of the event loop are sent in one write.
			flush_posted_ = true;
			asio::post(socket_.get_executor(),
					   [self = shared_from_this()]
					   {
						   self->flush_posted_ = false;
						   self->flush();
					   });
		}
		return number;
	}

	void link::flush()
	{
		if (!open_ || !writing_.empty() || pending_.empty())
			return;
		writing_.swap(pending_);
		last_flushed_ = last_queued_;
		asio::async_write(socket_, asio::buffer(writing_),
						  [self = shared_from_this()](const boost::system::error_code& error, std::size_t bytes)
						  {
							  self->writing_.clear();
							  self->bytes_sent_ += bytes;
							  if (error)
								  self->close(error.message());
							  else
								  self->flush();
						  });
	}

	void link::await_readable()
	{
		socket_.async_wait(asio::socket_base::wait_read,
						   [self = shared_from_this()](const boost::system::error_code& error)
						   {
							   if (error)
								   self->close(error.message());
							   else if (self->read_available())
								   self->await_readable();
						   });
	}

	bool link::read_available()
	{
		// The buffer is shared by all links of a thread, so that an idle link holds no read buffer; a process may have
		// thousands of links.
		thread_local std::string read_buffer(read_buffer_bytes, '\0');
		boost::system::error_code error;
		socket_.non_blocking(true, error);
		const auto bytes = socket_.read_some(asio::buffer(read_buffer), error);
		if (error == asio::error::would_block)
			return true;
		if (error)
		{
			close(error.message());
			return false;
		}
		bytes_received_ += bytes;
		received_.append(read_buffer, 0, bytes);
		return process_frames();
	}

	bool link::process_frames()
	{
		std::size_t consumed = 0;
		while (open_ && received_.size() - consumed >= frame_header_bytes)
		{
			const std::string_view rest{received_.data() + consumed, received_.size() - consumed};
			const auto length = frame_length(rest);
			if (length > limits_.max_frame_bytes)
			{
				log_event(event::frame_refused, {{"bytes", length}, {"most", limits_.max_frame_bytes}});
				close("oversized frame");
				return false;
			}
			if (rest.size() < frame_header_bytes + length)
				break;
			auto message = decode_envelope(rest.substr(frame_header_bytes, length));
			consumed += frame_header_bytes + length;
			if (!message.ok())
			{
				log_event(event::frame_refused, {{"reason", message.status().ToString()}});
				close("broken frame");
				return false;
			}
			on_message_(*std::move(message));
		}
		received_.erase(0, consumed);
		if (received_.empty())
			received_.shrink_to_fit();
		return open_;
	}

	void link::watch_idle()
	{
		idle_timer_.expires_after(limits_.idle_timeout);
		idle_timer_.async_wait(
			[weak = weak_from_this()](const boost::system::error_code& error)
			{
				const auto self = weak.lock();
				if (error || !self || !self->open_)
					return;
				if (self->bytes_received_ == self->last_checked_bytes_)
				{
					self->close("silent");
					return;
				}
				self->last_checked_bytes_ = self->bytes_received_;
				self->watch_idle();
			});
	}

	void link::close(const std::string& reason)
	{
		if (!open_)
			return;
		open_ = false;
		boost::system::error_code ignored;
		socket_.close(ignored);
		idle_timer_.cancel();
		// Posted, so that close() within send() or a message handler does not call back into its caller.
		asio::post(socket_.get_executor(),
				   [self = shared_from_this(), reason]
				   {
					   if (self->on_close_)
						   self->on_close_(reason);
					   self->on_close_ = nullptr;
					   self->on_message_ = nullptr;
				   });
	}
}
