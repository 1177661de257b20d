/** @file http_resources.cpp What the HTTP servers of a process share. */

#include "http/http_resources.h"

#include <fmt/format.h>
#include <utility>

namespace medlarmill
{

namespace
{

constexpr Duration LINE_INTERVAL = Millis(1'000); ///< Least time between two lines about one reason.
constexpr int MAX_EVICTED = 4; ///< Connections closed for one charge at most, so that a refusal costs little.

}

HttpResources::HttpResources(MemoryBudgetSettings memory, ConnectionLimitSettings connections, LogLine log)
    : memory_(memory)
    , connections_(connections)
    , log_(std::move(log))
{ }

ConnectionId HttpResources::add(EvictableConnection &connection, PortClass portClass, std::uint64_t client)
{
    const ConnectionId id{nextId_++};
    open_[id] = &connection;
    connections_.add(id, portClass, client, ProcessClock::now());
    return id;
}

void HttpResources::remove(ConnectionId id)
{
    open_.erase(id);
    connections_.remove(id);
}

bool HttpResources::makeRoomForConnection(PortClass portClass)
{
    if (connections_.hasRoom(portClass)) {
        return true;
    }
    const auto chosen = connections_.chooseForNewcomer(portClass, ProcessClock::now());
    if (chosen.has_value()) {
        open_.at(*chosen)->evict("evicted_for_newcomer");
    }
    return connections_.hasRoom(portClass);
}

bool HttpResources::raise(MemoryCharge &charge, std::uint64_t bytes, PortClass portClass, ConnectionId self)
{
    for (int evicted = 0; !charge.tryRaise(bytes); ++evicted) {
        const auto chosen = connections_.chooseStalled(portClass, ProcessClock::now());
        if (evicted == MAX_EVICTED || !chosen.has_value() || *chosen == self) {
            return false;
        }
        open_.at(*chosen)->evict("evicted_for_memory");
    }
    return true;
}

void HttpResources::count(PortId port, std::string_view reason)
{
    counters_.add(fmt::format("http_rejected{{port=\"{}\",reason=\"{}\"}}", memory_.nameOf(port), reason));
    auto found = reasons_.find(reason);
    if (found == reasons_.end()) {
        found = reasons_.emplace(std::string(reason), Reason()).first;
    }
    Reason &item = found->second;
    ++item.unwritten;
    const Instant now = ProcessClock::now();
    if (!log_ || (item.written && now < item.lastLine + LINE_INTERVAL)) {
        return;
    }
    log_(fmt::format("event=http_rejected port={} reason={} count={} memory_used={} memory_total={} connections={}", memory_.nameOf(port),
                     reason, std::exchange(item.unwritten, 0), memory_.used(), memory_.settings().total,
                     connections_.count(PortClass::Ordinary) + connections_.count(PortClass::Reserved)));
    item.lastLine = now;
    item.written = true;
}

void HttpResources::readGauges(const std::function<void(std::string_view, double)> &gauge) const
{
    for (std::size_t port = 0; port < memory_.portCount(); ++port) {
        gauge(fmt::format("http_memory_bytes{{port=\"{}\"}}", memory_.nameOf(PortId{port})),
              static_cast<double>(memory_.usedBy(PortId{port})));
    }
    gauge("http_memory_limit_bytes", static_cast<double>(memory_.settings().total));
    gauge("http_connections{class=\"ordinary\"}", static_cast<double>(connections_.count(PortClass::Ordinary)));
    gauge("http_connections{class=\"reserved\"}", static_cast<double>(connections_.count(PortClass::Reserved)));
}

}
