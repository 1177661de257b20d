/** @file stop_signal.cpp Signals as flags that the loops read. */

#include "daemon/stop_signal.h"

#include <atomic>
#include <csignal>

namespace medlarmill
{

namespace
{

// Several threads may run the handler; a lock-free atomic is allowed in it.
std::atomic<bool> stopRequested{false};
std::atomic<bool> reloadRequested{false};
static_assert(std::atomic<bool>::is_always_lock_free);

void onStopSignal(int /*signal*/)
{
    stopRequested.store(true);
}

void onReloadSignal(int /*signal*/)
{
    reloadRequested.store(true);
}

}

void catchStopSignals()
{
    std::signal(SIGTERM, onStopSignal);
    std::signal(SIGINT, onStopSignal);
    std::signal(SIGPIPE, SIG_IGN);
}

bool isStopRequested()
{
    return stopRequested.load();
}

void catchReloadSignal()
{
    std::signal(SIGHUP, onReloadSignal);
}

bool takeReloadRequest()
{
    return reloadRequested.exchange(false);
}

}
