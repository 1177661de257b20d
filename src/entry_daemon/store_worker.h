/** @file store_worker.h The entry's thread for the platform's table. */

#pragma once

#include "core/ids_type.h"
#include "core/time_type.h"
#include "net/doorbell.h"
#include "net/ring.h"
#include "table/table_service.h"
#include "wire/generated/medlarmill.pb.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>

namespace medlarmill
{

/** What the table said. */
struct StoreEvent
{
    bool reachable = false; ///< The platform answered.
    bool hasRoster = false; ///< `roster` is valid; version 0 when the row does not exist yet.
    wire::Roster roster; ///< The roster.
    bool configRead = false; ///< The configuration was read.
    ConfigVersion configVersion = INVALID_CONFIG_VERSION; ///< Version of `config`, or invalid when it is not newer.
    std::string config; ///< A newer configuration document.
    std::string error; ///< Why the platform did not answer.
};

/** Reads roster and configuration regularly and proposes rosters. */
class StoreWorker
{
public:
    /** @param table the table. @param rosterKey row of the roster. @param interval time between reads. @param reader doorbell of the
     * reading thread. */
    StoreWorker(std::unique_ptr<TableService> table, std::string rosterKey, Duration interval, Doorbell &reader);
    ~StoreWorker();
    StoreWorker(const StoreWorker &) = delete;
    StoreWorker &operator=(const StoreWorker &) = delete;

    /** Starts the thread. */
    void start();

    /** Asks for a compare-and-swap of the roster. @param roster the wanted roster. @return false when the ring is full. */
    bool propose(const wire::Roster &roster);

    /** @return the oldest event, or nullptr. */
    std::unique_ptr<StoreEvent> nextEvent()
    {
        return events_.tryPop();
    }

private:
    void run();
    void readAll();
    void tryProposal(const wire::Roster &roster);
    bool readRoster(StoreEvent &event);
    void readConfig(StoreEvent &event);
    void push(std::unique_ptr<StoreEvent> event);

    std::unique_ptr<TableService> table_;
    std::string rosterKey_;
    Duration interval_;
    ThreadDoorbell bell_;
    BoundedRing<wire::Roster> proposals_;
    BoundedRing<StoreEvent> events_;
    std::uint64_t rosterRow_ = 0;
    std::uint64_t headRow_ = 0;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

}
