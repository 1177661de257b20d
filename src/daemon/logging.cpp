/** @file logging.cpp Structured logs. */

#include "daemon/logging.h"

#include <array>
#include <fmt/format.h>
#include <memory>
#include <spdlog/sinks/stdout_sinks.h>
#include <string>

namespace medlarmill
{

namespace
{

constexpr std::array<std::string_view, 6> AREA_NAMES = {"main", "link", "home", "store", "http", "endpoint"};

std::array<std::shared_ptr<spdlog::logger>, AREA_NAMES.size()> &loggers()
{
    static std::array<std::shared_ptr<spdlog::logger>, AREA_NAMES.size()> all;
    return all;
}

absl::Status setLevel(std::string_view item)
{
    const std::size_t equals = item.find('=');
    const std::string_view area = equals == std::string_view::npos ? std::string_view() : item.substr(0, equals);
    const std::string name(equals == std::string_view::npos ? item : item.substr(equals + 1));
    const auto level = spdlog::level::from_str(name);
    if (level == spdlog::level::off && name != "off") {
        return absl::InvalidArgumentError(fmt::format("log level \"{}\" is unknown: use trace, debug, info, warn, error or off", name));
    }
    bool found = area.empty();
    for (std::size_t index = 0; index < AREA_NAMES.size(); ++index) {
        if (!area.empty() && area != AREA_NAMES[index]) {
            continue;
        }
        loggers()[index]->set_level(level);
        found = true;
    }
    return found
        ? absl::OkStatus()
        : absl::InvalidArgumentError(fmt::format("log area \"{}\" is unknown: use main, link, home, store, http or endpoint", area));
}

}

absl::Status setUpLogging(std::string_view process, std::string_view levels)
{
    auto sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    for (std::size_t index = 0; index < AREA_NAMES.size(); ++index) {
        auto logger = std::make_shared<spdlog::logger>(std::string(AREA_NAMES[index]), sink);
        logger->set_pattern(fmt::format(R"(time=%Y-%m-%dT%H:%M:%S.%eZ level=%l process={} area=%n %v)", process),
                            spdlog::pattern_time_type::utc);
        loggers()[index] = std::move(logger);
    }
    while (!levels.empty()) {
        const std::size_t comma = levels.find(',');
        absl::Status status = setLevel(levels.substr(0, comma));
        if (!status.ok()) {
            return status;
        }
        levels = comma == std::string_view::npos ? std::string_view() : levels.substr(comma + 1);
    }
    return absl::OkStatus();
}

spdlog::logger &logOf(LogArea area)
{
    return *loggers()[static_cast<std::size_t>(area)];
}

}
