// SPDX-License-Identifier: MIT
#include <trailjunction/testkit/agent_standin.hpp>
#include <trailjunction/wire/job_messages.hpp>

namespace trailjunction::testkit
{
	namespace asio = boost::asio;

	agent_standin::agent_standin(asio::io_context& io)
		: io_{io},
		  acceptor_{io, endpoint{asio::ip::address_v4::loopback(), 0}},
		  link_address_{acceptor_.local_endpoint()}
	{
		full_report.full = true;
		full_report.responsive = true;
		accept();
	}

	void agent_standin::accept()
	{
		acceptor_.async_accept(
			[this](const boost::system::error_code& error, asio::ip::tcp::socket socket)
			{
				if (error)
					return;
				link_ = std::make_shared<link>(std::move(socket), link_limits{});
				link_->start([this](wire::envelope&& message) { on_message(std::move(message)); },
							 [](const std::string&) {});
				accept();
			});
	}

	void agent_standin::on_message(wire::envelope&& message)
	{
		if (message.__isset.claim)
		{
			++claim_count;
			send_report(full_report);
		}
		if (message.__isset.job_begin)
			received_starts.push_back(std::move(message.job_begin));
		if (message.__isset.job_halt)
			received_stops.push_back(std::move(message.job_halt));
		if (message.__isset.confirm)
			received_confirms.push_back(message.confirm);
	}

	void agent_standin::close_link()
	{
		if (link_)
			link_->close("dropped");
	}

	void agent_standin::send_report(wire::job_report report)
	{
		if (link_)
			(void)link_->send(to_envelope(std::move(report)));
	}
}
