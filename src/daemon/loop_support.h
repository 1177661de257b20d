/** @file loop_support.h Pieces that every single-threaded process needs: stop and reload signals, a metrics page. */

#pragma once

#include "http/server.h"

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <memory>
#include <string>

namespace medlarmill
{

/** Calls back on SIGTERM, SIGINT and SIGHUP, on the loop. */
class SignalWatcher
{
public:
    /** @param context the loop. @param onStop called on each stop signal. @param onReload called on SIGHUP. */
    SignalWatcher(boost::asio::io_context &context, std::function<void()> onStop, std::function<void()> onReload);

private:
    void wait();

    boost::asio::signal_set signals_;
    std::function<void()> onStop_;
    std::function<void()> onReload_;
};

/** Serves metrics as text under /metrics. */
class MetricsPage : public HttpHandler
{
public:
    /** @param context the loop. @param text makes the page. */
    MetricsPage(boost::asio::io_context &context, std::function<std::string()> text);

    /** Listens. @param address where. @return why it failed. */
    absl::Status listen(const boost::asio::ip::tcp::endpoint &address);

    void handle(HttpRequest request, HttpReply reply) override;

private:
    HttpServer server_;
    std::function<std::string()> text_;
};

}
