/** @file stop_signal.h SIGTERM and SIGINT as a flag. */

#pragma once

namespace medlarmill
{

/** Makes SIGTERM and SIGINT set a flag instead of ending the process, and ignores SIGPIPE. */
void catchStopSignals();

/** @return whether a stop was asked for. */
bool isStopRequested();

}
