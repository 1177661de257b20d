/** @file logging.h Structured logs on standard error, with a level for each area. */

#pragma once

#include <absl/status/status.h>
#include <cstdint>
#include <spdlog/spdlog.h>
#include <string_view>

namespace medlarmill
{

/** Areas of the log. */
enum class LogArea : std::uint8_t {
    Main, ///< Start and stop.
    Link, ///< Connections between our processes.
    Home, ///< Jobs, roster, takeover.
    Store, ///< The platform's table.
    Http, ///< Callers and operators.
    Endpoint, ///< Endpoints.
};

/**
 * Sets up the log. @param process name in each line. @param levels levels such as `info` or `info,link=debug,store=warn`.
 * @return what is wrong with the levels.
 */
absl::Status setUpLogging(std::string_view process, std::string_view levels);

/** @param area an area. @return its logger. */
spdlog::logger &logOf(LogArea area);

}
