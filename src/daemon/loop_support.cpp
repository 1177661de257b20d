/** @file loop_support.cpp Pieces that every single-threaded process needs. */

#include "daemon/loop_support.h"

#include <csignal>

namespace medlarmill
{

SignalWatcher::SignalWatcher(boost::asio::io_context &context, std::function<void()> onStop, std::function<void()> onReload)
    : signals_(context, SIGTERM, SIGINT, SIGHUP)
    , onStop_(std::move(onStop))
    , onReload_(std::move(onReload))
{
    std::signal(SIGPIPE, SIG_IGN);
    wait();
}

void SignalWatcher::wait()
{
    signals_.async_wait([this](boost::system::error_code error, int signal) {
        if (error) {
            return;
        }
        (signal == SIGHUP ? onReload_ : onStop_)();
        wait();
    });
}

MetricsPage::MetricsPage(boost::asio::io_context &context, std::function<std::string()> text)
    : server_(context, *this, HttpLimits())
    , text_(std::move(text))
{ }

absl::Status MetricsPage::listen(const boost::asio::ip::tcp::endpoint &address)
{
    return server_.listen(address);
}

void MetricsPage::handle(HttpRequest request, HttpReply reply)
{
    const std::string_view target(request.target().data(), request.target().size());
    reply(target == "/metrics" ? textResponse(200, text_()) : textResponse(404, "only /metrics is here\n"));
}

}
