/** @file metrics_page.cpp A metrics page on the loop of a single-threaded process. */

#include "daemon/metrics_page.h"

namespace medlarmill
{

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
