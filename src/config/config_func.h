/** @file config_func.h Reads, checks and compares configuration documents. */

#pragma once

#include "config/config_type.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <vector>

namespace medlarmill
{

constexpr std::size_t MAX_CONFIG_BYTES = 4U << 20U; ///< Largest configuration document, in bytes.

/** One finding of the check. */
struct ConfigError
{
    std::string path; ///< Where, as a JSON pointer.
    std::string message; ///< What is wrong and the remedy.

    bool operator==(const ConfigError &) const = default;
};

/** Result of reading a document. */
struct ConfigCheck
{
    Config config; ///< The configuration; complete only when there are no errors.
    std::vector<ConfigError> errors; ///< Everything that is wrong, not only the first.
};

/** Reads a JSON document and checks all of it. @param text the document. @return the configuration and every error. */
ConfigCheck checkConfig(std::string_view text);

/** Reads a document that was accepted before. @param text the document. @param version its version. @return the configuration or why not.
 */
absl::StatusOr<Config> readAcceptedConfig(std::string_view text, ConfigVersion version);

/** Writes a service as JSON. @param service the service. @return the document. */
std::string serviceToJson(const ServiceConfig &service);

/** Lists the differences of two configurations, a line each. @param before the older. @param after the newer. @return the lines. */
std::vector<std::string> diffConfig(const Config &before, const Config &after);

}
