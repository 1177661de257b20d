/** @file metrics_page.h A metrics page on the loop of a single-threaded process. */

#pragma once

#include "http/server.h"

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace medlarmill
{

/** Serves metrics as text under /metrics. */
class MetricsPage : public HttpHandler
{
public:
    /** @param context the loop. @param text makes the page. @param resources what the servers of the process share; their gauges and
     * counters are added to the page. */
    MetricsPage(boost::asio::io_context &context, std::function<std::string()> text, const std::shared_ptr<HttpResources> &resources);

    /** Listens. @param address where. @return why it failed. */
    absl::Status listen(const boost::asio::ip::tcp::endpoint &address);

    std::optional<HttpResponse> checkHeader(const HttpRequestHeader &header, std::optional<std::uint64_t> declaredBytes) override;
    void handle(HttpRequest request, HttpReply reply) override;

private:
    HttpServer server_;
    std::function<std::string()> text_;
};

}
