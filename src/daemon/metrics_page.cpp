/** @file metrics_page.cpp A metrics page on the loop of a single-threaded process. */

#include "daemon/metrics_page.h"

#include "daemon/metrics.h"
#include "http/http_resources.h"

namespace medlarmill
{

namespace
{

constexpr std::uint64_t PAGE_BYTES = 64U << 10U; ///< Room for a page; that of an entry with 20 queues has about 40,000 bytes.

HttpLimits pageLimits()
{
    HttpLimits limits;
    limits.maxBodyBytes = 4'096; // No body is needed.
    return limits;
}

}

MetricsPage::MetricsPage(boost::asio::io_context &context, std::function<std::string()> text,
                         const std::shared_ptr<HttpResources> &resources)
    : server_(context, *this, pageLimits(), resources,
              {.name = "metrics", .portClass = PortClass::Reserved, .memoryShare = RESERVED_MEMORY_SHARE, .answerBytes = PAGE_BYTES})
    , text_(std::move(text))
{ }

absl::Status MetricsPage::listen(const boost::asio::ip::tcp::endpoint &address)
{
    return server_.listen(address);
}

void MetricsPage::handle(HttpRequest request, HttpReply reply)
{
    if (request.target() != "/metrics") {
        reply(textResponse(404, "only /metrics is here\n"));
        return;
    }
    std::string text = text_();
    writeCounters(server_.resources().counters(), text);
    server_.resources().readGauges([&text](std::string_view name, double value) {
        writeGauge(name, value, text);
    });
    reply(textResponse(200, std::move(text)));
}

std::optional<HttpResponse> MetricsPage::checkHeader(const HttpRequestHeader &header, std::optional<std::uint64_t> /*declaredBytes*/)
{
    return header.target() == "/metrics" ? textResponse(413, "no body is taken here\n") : textResponse(404, "only /metrics is here\n");
}

}
