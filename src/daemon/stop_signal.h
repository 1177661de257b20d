/** @file stop_signal.h Signals as flags that the loops read. */

#pragma once

namespace medlarmill
{

/** Makes SIGTERM and SIGINT set a flag instead of ending the process, and ignores SIGPIPE. */
void catchStopSignals();

/** @return whether a stop was asked for. */
bool isStopRequested();

/** Makes SIGHUP count instead of ending the process. */
void catchReloadSignal();

/** @return whether SIGHUP came since the last call. */
bool takeReloadRequest();

}
