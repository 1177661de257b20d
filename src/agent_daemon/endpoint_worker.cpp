/** @file endpoint_worker.cpp The agent's thread for the endpoint beside it. */

#include "agent_daemon/endpoint_worker.h"

#include "daemon/logging.h"
#include "net/address.h"

#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace medlarmill
{

namespace
{

using nlohmann::json;

constexpr std::size_t RING_CAPACITY = 4'096; ///< Commands and events that may wait.
constexpr Duration ANNOUNCE_LIMIT = Millis(3'000); ///< An endpoint that does not announce itself for so long is absent.
constexpr Duration ANNOUNCE_CHECK = Millis(500); ///< Time between checks.
constexpr Duration TASK_LIMIT = Millis(600'000); ///< A task that runs longer is given up as lost.
constexpr Duration OVERFLOW_RETRY = Millis(1); ///< Pause before a full ring is tried again.
constexpr unsigned STATUS_OK = 200;
constexpr unsigned STATUS_UNAVAILABLE = 503;
constexpr std::uint32_t MAX_SLOTS = 4'096; ///< Most slots of an endpoint.

}

EndpointWorker::EndpointWorker(Doorbell &reader)
    : work_(boost::asio::make_work_guard(context_))
    , server_(context_, *this, {})
    , announceTimer_(context_)
    , overflowTimer_(context_)
    , commandBell_(context_,
                   [this] {
                       drainCommands();
                   })
    , commands_(RING_CAPACITY, commandBell_)
    , events_(RING_CAPACITY, reader)
{ }

EndpointWorker::~EndpointWorker()
{
    stop();
}

absl::Status EndpointWorker::start(const boost::asio::ip::tcp::endpoint &address)
{
    const absl::Status status = server_.listen(address);
    if (!status.ok()) {
        return status;
    }
    watchAnnouncements();
    thread_ = std::thread([this] {
        context_.run();
    });
    return absl::OkStatus();
}

void EndpointWorker::stop()
{
    if (!thread_.joinable()) {
        return;
    }
    context_.stop();
    thread_.join();
}

void EndpointWorker::drainCommands()
{
    while (auto command = commands_.tryPop()) {
        if (!command->isStop) {
            startTask(std::move(*command));
            continue;
        }
        const auto call = calls_.find(command->key);
        if (call != calls_.end()) {
            stopped_[command->key] = true;
            call->second->cancel();
        }
    }
}

void EndpointWorker::startTask(EndpointCommand command)
{
    if (!endpoint_) {
        push({EndpointEventKind::Finished, command.key, {wire::TASK_NOT_RUN, Reason::EndpointAbsent, {}}});
        return;
    }
    HttpCallRequest call{*endpoint_, makeHttpRequest(boost::beast::http::verb::post, "/run/" + command.kind, std::move(command.payload))};
    call.request.set("X-Submission-Id", command.key.submission);
    call.request.set("X-Task-Index", std::to_string(static_cast<std::uint32_t>(command.key.index)));
    call.request.set("X-Time-Left-Ms", std::to_string(toMillis(command.timeLeft)));
    call.timeout = TASK_LIMIT;
    const TaskKey key = command.key;
    calls_[key] = startHttpCall(context_, std::move(call), [this, key](const HttpResult &result) {
        onResult(key, result);
    });
}

void EndpointWorker::onResult(const TaskKey &key, const HttpResult &result)
{
    calls_.erase(key);
    const bool wasStopped = stopped_.erase(key) > 0;
    TaskOutcome outcome;
    if (result.progress == HttpProgress::NotSent) {
        outcome = {wire::TASK_NOT_RUN, Reason::EndpointAbsent, {}};
    } else if (result.progress == HttpProgress::Answered && result.status == STATUS_OK) {
        outcome = {wire::TASK_COMPLETE, Reason::None, result.body};
    } else if (result.progress == HttpProgress::Answered && result.status == STATUS_UNAVAILABLE) {
        // The endpoint's contract: 503 means that the task was not started.
        outcome = {wire::TASK_NOT_RUN, Reason::Busy, {}};
    } else if (result.progress == HttpProgress::Answered) {
        outcome = {wire::TASK_FAILED, Reason::TaskFailed, fmt::format("status {}: {}", result.status, result.body)};
    } else if (wasStopped) {
        outcome = {wire::TASK_FAILED, Reason::Cancelled, {}};
    } else {
        outcome = {wire::TASK_LOST, Reason::EndpointLost, result.body};
    }
    push({EndpointEventKind::Finished, key, std::move(outcome)});
}

void EndpointWorker::handle(HttpRequest request, HttpReply reply)
{
    const std::string target(request.target());
    if (target == "/healthz") {
        reply(textResponse(STATUS_OK, "ok\n"));
        return;
    }
    if (target == "/v1/announce" && request.method() == boost::beast::http::verb::post) {
        onAnnounce(request.body(), reply);
        return;
    }
    if (target == "/metrics" || target == "/readyz") {
        EndpointEvent event;
        event.kind = EndpointEventKind::MetricsWanted;
        event.reader = nextReader_++;
        event.slots = target == "/readyz" ? 1 : 0;
        readers_.emplace(event.reader, std::move(reply));
        push(std::move(event));
        return;
    }
    reply(textResponse(404, "no such path: use /v1/announce, /metrics, /readyz or /healthz\n"));
}

void EndpointWorker::onAnnounce(const std::string &body, const HttpReply &reply)
{
    const json document = json::parse(body, nullptr, false);
    const bool valid = document.is_object() && document.contains("address") && document["address"].is_string() && document.contains("slots")
        && document["slots"].is_number_unsigned();
    if (!valid) {
        reply(jsonResponse(400, R"({"error":"send an object with address (number:port), slots and, when leaving, leaving=true"})"));
        return;
    }
    const auto address = parseAddress(document["address"].get<std::string>());
    const auto slots = document["slots"].get<std::uint64_t>();
    if (!address.ok() || slots > MAX_SLOTS) {
        reply(jsonResponse(400, R"({"error":"address must be an IP number and a port, slots at most 4096"})"));
        return;
    }
    endpoint_ = *address;
    announcedAt_ = ProcessClock::now();
    if (slots_ != slots) {
        slots_ = static_cast<std::uint32_t>(slots);
        EndpointEvent event;
        event.kind = EndpointEventKind::Announced;
        event.slots = slots_;
        push(std::move(event));
        logOf(LogArea::Endpoint).info("event=announced address={} slots={}", formatAddress(*address), slots_);
    }
    if (document.contains("leaving") && document["leaving"] == true) {
        EndpointEvent event;
        event.kind = EndpointEventKind::Leaving;
        push(std::move(event));
    }
    reply(jsonResponse(STATUS_OK, R"({"result":"ok"})"));
}

void EndpointWorker::watchAnnouncements()
{
    announceTimer_.expires_after(ANNOUNCE_CHECK);
    announceTimer_.async_wait([this](boost::system::error_code error) {
        if (error) {
            return;
        }
        if (slots_ > 0 && ProcessClock::now() >= announcedAt_ + ANNOUNCE_LIMIT) {
            slots_ = 0;
            EndpointEvent event;
            event.kind = EndpointEventKind::Announced;
            push(std::move(event));
            logOf(LogArea::Endpoint).warn("event=endpoint_absent remedy=\"check the endpoint process\"");
        }
        watchAnnouncements();
    });
}

void EndpointWorker::push(EndpointEvent event)
{
    auto item = std::make_unique<EndpointEvent>(std::move(event));
    if (overflow_.empty() && events_.tryPush(item)) {
        return;
    }
    overflow_.push_back(std::move(item));
    if (overflow_.size() == 1) {
        retryOverflow();
    }
}

void EndpointWorker::retryOverflow()
{
    while (!overflow_.empty() && events_.tryPush(overflow_.front())) {
        overflow_.pop_front();
    }
    if (overflow_.empty()) {
        return;
    }
    overflowTimer_.expires_after(OVERFLOW_RETRY);
    overflowTimer_.async_wait([this](boost::system::error_code error) {
        if (!error) {
            retryOverflow();
        }
    });
}

void EndpointWorker::replyText(std::uint64_t reader, unsigned status, std::string text)
{
    boost::asio::post(context_, [this, reader, status, text = std::move(text)] {
        const auto found = readers_.find(reader);
        if (found == readers_.end()) {
            return;
        }
        const HttpReply reply = std::move(found->second);
        readers_.erase(found);
        reply(textResponse(status, text));
    });
}

}
