/** @file store_worker.cpp The entry's thread for the platform's table. */

#include "entry_daemon/store_worker.h"

#include "daemon/logging.h"
#include "table/roster_document.h"

#include <nlohmann/json.hpp>

namespace medlarmill
{

namespace
{

constexpr std::size_t RING_CAPACITY = 256; ///< Events and proposals that may wait.

}

StoreWorker::StoreWorker(std::unique_ptr<TableService> table, std::string rosterKey, Duration interval, Doorbell &reader)
    : table_(std::move(table))
    , rosterKey_(std::move(rosterKey))
    , interval_(interval)
    , proposals_(RING_CAPACITY, bell_)
    , events_(RING_CAPACITY, reader)
{ }

StoreWorker::~StoreWorker()
{
    stopping_ = true;
    bell_.ring();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void StoreWorker::start()
{
    thread_ = std::thread([this] {
        run();
    });
}

bool StoreWorker::propose(const wire::Roster &roster)
{
    auto copy = std::make_unique<wire::Roster>(roster);
    return proposals_.tryPush(copy);
}

void StoreWorker::run()
{
    Instant nextRead = ProcessClock::now();
    while (!stopping_) {
        while (const auto proposal = proposals_.tryPop()) {
            tryProposal(*proposal);
            nextRead = ProcessClock::now();
        }
        if (ProcessClock::now() >= nextRead) {
            nextRead = ProcessClock::now() + interval_;
            readAll();
        }
        bell_.wait(nextRead - ProcessClock::now());
    }
}

void StoreWorker::readAll()
{
    auto event = std::make_unique<StoreEvent>();
    if (readRoster(*event)) {
        readConfig(*event);
    }
    push(std::move(event));
}

bool StoreWorker::readRoster(StoreEvent &event)
{
    const auto row = table_->read(rosterKey_);
    if (!row.ok()) {
        event.error = std::string(row.status().message());
        logOf(LogArea::Store).warn("event=roster_read_failed error=\"{}\"", event.error);
        return false;
    }
    auto roster = rosterFromJson(row->value);
    if (!roster.ok()) {
        event.error = std::string(roster.status().message());
        logOf(LogArea::Store).error("event=roster_unreadable error=\"{}\"", event.error);
        return false;
    }
    rosterRow_ = row->version;
    event.reachable = true;
    event.hasRoster = true;
    event.roster = *std::move(roster);
    return true;
}

void StoreWorker::readConfig(StoreEvent &event)
{
    const auto head = table_->read(CONFIG_HEAD_KEY);
    if (!head.ok()) {
        return;
    }
    if (head->version == 0 || head->version == headRow_) {
        event.configRead = true;
        return;
    }
    const auto snapshot = table_->read(CONFIG_SNAPSHOT_KEY);
    if (!snapshot.ok()) {
        return;
    }
    const auto document = nlohmann::json::parse(snapshot->value, nullptr, false);
    if (!document.is_object() || !document.contains("version") || !document.contains("document")) {
        logOf(LogArea::Store).error("event=config_unreadable");
        return;
    }
    event.configVersion = ConfigVersion{document["version"].get<std::uint64_t>()};
    event.config = document["document"].dump();
    event.configRead = true;
    headRow_ = head->version;
}

void StoreWorker::tryProposal(const wire::Roster &roster)
{
    StoreEvent seen;
    if (readRoster(seen) && seen.roster.version() + 1 == roster.version()) {
        const absl::Status status = table_->commit({{{rosterKey_, rosterRow_}}, {{rosterKey_, rosterToJson(roster)}}});
        logOf(LogArea::Store).info("event=roster_proposed version={} result=\"{}\"", roster.version(), std::string(status.message()));
    }
    // Whatever the reply was, the row tells what is in force: a reply may be lost after the write took effect.
}

void StoreWorker::push(std::unique_ptr<StoreEvent> event)
{
    while (!stopping_ && !events_.tryPush(event)) {
        bell_.wait(interval_);
    }
}

}
