/** @file caller_gateway.cpp The entry's thread for callers. */

#include "entry_daemon/caller_gateway.h"

#include "core/hash_func.h"
#include "core/time_type.h"
#include "http/caller_document.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace medlarmill
{

namespace
{

namespace http = boost::beast::http;

constexpr std::string_view SERVICES_PREFIX = "/v1/services/";
constexpr std::string_view JOBS_SUFFIX = "/jobs";
constexpr std::string_view JOBS_PREFIX = "/v1/jobs/";
constexpr Duration FLUSH_TIME = Millis(200); ///< Time for the last responses to reach their callers.
constexpr unsigned STATUS_METHOD_NOT_ALLOWED = 405;

/** Fixed path that the decision thread answers. */
struct PathRow
{
    std::string_view path; ///< The path.
    CallerRequestKind kind; ///< What it means.
};

constexpr PathRow PATHS[] = {
    {"/readyz", CallerRequestKind::Ready},
    {"/metrics", CallerRequestKind::Metrics},
    {"/v1/status", CallerRequestKind::Status},
    {"/v1/config", CallerRequestKind::ConfigText},
};

bool isSubmitPath(std::string_view path)
{
    return path.starts_with(SERVICES_PREFIX) && path.ends_with(JOBS_SUFFIX) && path.size() > SERVICES_PREFIX.size() + JOBS_SUFFIX.size();
}

}

CallerGateway::CallerGateway(HttpLimits limits, std::size_t maxWaiting, Doorbell &reader)
    : work_(boost::asio::make_work_guard(context_))
    , server_(context_, *this, limits)
    , maxWaiting_(maxWaiting)
    , requests_(maxWaiting, reader)
    , replyBell_(context_,
                 [this] {
                     drainReplies();
                 })
    , replies_(maxWaiting * 2, replyBell_)
{ }

CallerGateway::~CallerGateway()
{
    stop();
}

absl::Status CallerGateway::start(const boost::asio::ip::tcp::endpoint &address)
{
    const absl::Status status = server_.listen(address);
    if (status.ok()) {
        thread_ = std::thread([this] {
            context_.run();
        });
    }
    return status;
}

void CallerGateway::stop()
{
    if (!thread_.joinable()) {
        return;
    }
    boost::asio::post(context_, [this] {
        server_.stopAccepting();
        drainReplies();
        auto timer = std::make_shared<boost::asio::steady_timer>(context_, FLUSH_TIME);
        timer->async_wait([this, timer](boost::system::error_code) {
            context_.stop();
        });
    });
    thread_.join();
}

std::optional<HttpResponse> CallerGateway::checkHeader(const HttpRequestHeader &header, std::optional<std::uint64_t> /*declaredBytes*/)
{
    const std::string_view path(header.target().data(), header.target().size());
    if (!isSubmitPath(path)) {
        return invalidResponse(Reason::NotFound, "no such path takes a body; see docs/INTERFACE.md");
    }
    if (header.method() != http::verb::post) {
        return jsonResponse(STATUS_METHOD_NOT_ALLOWED, R"({"kind":"invalid","reason":"malformed","remedy":"use POST"})");
    }
    return std::nullopt;
}

void CallerGateway::handle(HttpRequest request, HttpReply reply)
{
    const std::string target(request.target());
    if (target == "/healthz") {
        reply(textResponse(200, "ok\n"));
        return;
    }
    for (const PathRow &row : PATHS) {
        if (target == row.path) {
            forward(row.kind, {}, std::move(reply));
            return;
        }
    }
    const std::string_view path(target);
    if (isSubmitPath(path)) {
        const std::size_t length = path.size() - SERVICES_PREFIX.size() - JOBS_SUFFIX.size();
        handleSubmit(path.substr(SERVICES_PREFIX.size(), length), std::move(request), std::move(reply));
        return;
    }
    if (!path.starts_with(JOBS_PREFIX)) {
        reply(invalidResponse(Reason::NotFound, "no such path; see docs/INTERFACE.md"));
        return;
    }
    wire::Job job;
    job.set_submission_id(std::string(path.substr(JOBS_PREFIX.size())));
    if (!isValidSubmissionId(job.submission_id())) {
        reply(invalidResponse(Reason::Malformed, "the submission id has a character that is not allowed, or is too long"));
        return;
    }
    if (request.method() == http::verb::get) {
        forward(CallerRequestKind::Fetch, std::move(job), std::move(reply));
    } else if (request.method() == http::verb::delete_) {
        forward(CallerRequestKind::Cancel, std::move(job), std::move(reply));
    } else {
        reply(jsonResponse(STATUS_METHOD_NOT_ALLOWED, R"({"kind":"invalid","reason":"malformed","remedy":"use GET or DELETE"})"));
    }
}

void CallerGateway::handleSubmit(std::string_view service, HttpRequest request, HttpReply reply)
{
    if (request.method() != http::verb::post) {
        reply(jsonResponse(STATUS_METHOD_NOT_ALLOWED, R"({"kind":"invalid","reason":"malformed","remedy":"use POST"})"));
        return;
    }
    auto job = readSubmission(service, request.body());
    if (!job.ok()) {
        const Reason reason = job.status().code() == absl::StatusCode::kOutOfRange ? Reason::TooLarge : Reason::Malformed;
        reply(invalidResponse(reason, std::string(job.status().message())));
        return;
    }
    forward(CallerRequestKind::Submit, *std::move(job), std::move(reply));
}

void CallerGateway::forward(CallerRequestKind kind, wire::Job job, HttpReply reply)
{
    auto request = std::make_unique<CallerRequest>();
    request->kind = kind;
    request->caller = CallerToken{nextToken_++};
    request->job = std::move(job);
    const CallerToken caller = request->caller;
    const SubmissionId id = request->job.submission_id();
    if (waiting_.size() < maxWaiting_ && requests_.tryPush(request)) {
        waiting_.emplace(caller, std::move(reply));
        return;
    }
    ++refused_;
    wire::Answer answer;
    answer.set_submission_id(id);
    answer.set_kind(id.empty() ? wire::ANSWER_REFUSED : wire::ANSWER_UNKNOWN);
    answer.set_reason(static_cast<std::uint32_t>(Reason::RingFull));
    reply(answerResponse(answer));
}

void CallerGateway::drainReplies()
{
    while (const auto reply = replies_.tryPop()) {
        const auto found = waiting_.find(reply->caller);
        if (found == waiting_.end()) {
            continue;
        }
        const HttpReply respond = std::move(found->second);
        waiting_.erase(found);
        if (reply->status == 0) {
            respond(answerResponse(reply->answer));
        } else {
            respond(reply->isJson ? jsonResponse(reply->status, std::move(reply->text))
                                  : textResponse(reply->status, std::move(reply->text)));
        }
    }
}

}
