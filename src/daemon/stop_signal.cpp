/** @file stop_signal.cpp SIGTERM and SIGINT as a flag. */

#include "daemon/stop_signal.h"

#include <csignal>

namespace medlarmill
{

namespace
{

volatile std::sig_atomic_t stopRequested = 0;

void onStopSignal(int /*signal*/)
{
    stopRequested = 1;
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
    return stopRequested != 0;
}

}
