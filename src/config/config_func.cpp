/** @file config_func.cpp Reads, checks and compares configuration documents. */

#include "config/config_func.h"

#include <fmt/format.h>
#include <limits>
#include <nlohmann/json.hpp>

namespace medlarmill
{

namespace
{

using nlohmann::json;

constexpr std::uint64_t MAX_DEADLINE_MS = 300'000; ///< Longest deadline of a request kind.
constexpr std::uint64_t MAX_TASKS_WAITING = 10'000'000; ///< Largest queue limit.
constexpr std::uint64_t MAX_WEIGHT = 1'000'000; ///< Largest team weight.
constexpr std::size_t MAX_NAME_BYTES = 64; ///< Longest name of a service, kind or team.

/** Range of a whole number. */
struct Range
{
    std::uint64_t low; ///< Smallest value.
    std::uint64_t high; ///< Largest value.
};

/** Walks a document and collects errors with their paths. */
class Reader
{
public:
    explicit Reader(std::vector<ConfigError> &errors)
        : errors_(errors)
    { }

    void fail(const std::string &path, std::string message)
    {
        errors_.push_back({path, std::move(message)});
    }

    bool isObject(const json &value, const std::string &path)
    {
        if (value.is_object()) {
            return true;
        }
        fail(path, fmt::format("must be an object, found {}", value.type_name()));
        return false;
    }

    bool isName(const std::string &name, const std::string &path)
    {
        const bool valid = !name.empty() && name.size() <= MAX_NAME_BYTES && name.find_first_of(" \t\r\n/\"\\") == std::string::npos;
        if (!valid) {
            fail(path, "names have 1 to 64 characters without blanks, quotes and slashes: choose another name");
        }
        return valid;
    }

    template<typename T>
    void number(const json &object, const std::string &path, const char *key, Range range, T &target)
    {
        const auto found = object.find(key);
        if (found == object.end()) {
            return;
        }
        const bool inRange = found->is_number_unsigned() && found->template get<std::uint64_t>() >= range.low
            && found->template get<std::uint64_t>() <= range.high;
        if (!inRange) {
            fail(fmt::format("{}/{}", path, key), fmt::format("must be a whole number from {} to {}", range.low, range.high));
            return;
        }
        target = T(found->template get<std::uint64_t>());
    }

    void boolean(const json &object, const std::string &path, const char *key, bool &target)
    {
        const auto found = object.find(key);
        if (found == object.end()) {
            return;
        }
        if (!found->is_boolean()) {
            fail(fmt::format("{}/{}", path, key), "must be true or false");
            return;
        }
        target = found->get<bool>();
    }

    void onlyKeys(const json &object, const std::string &path, std::initializer_list<std::string_view> known)
    {
        for (const auto &[key, value] : object.items()) {
            if (std::find(known.begin(), known.end(), key) != known.end()) {
                continue;
            }
            std::string list;
            for (const std::string_view name : known) {
                list += fmt::format("{}{}", list.empty() ? "" : ", ", name);
            }
            fail(fmt::format("{}/{}", path, key), fmt::format("unknown key: remove it or use one of {}", list));
        }
    }

private:
    std::vector<ConfigError> &errors_;
};

KindConfig readKind(Reader &reader, const json &value, const std::string &path)
{
    KindConfig kind;
    if (!reader.isObject(value, path)) {
        return kind;
    }
    reader.onlyKeys(value, path, {"deadline_ms", "idempotent"});
    reader.number(value, path, "deadline_ms", {1, MAX_DEADLINE_MS}, kind.deadline);
    reader.boolean(value, path, "idempotent", kind.idempotent);
    return kind;
}

ServiceConfig readService(Reader &reader, const json &value, const std::string &path)
{
    ServiceConfig service;
    if (!reader.isObject(value, path)) {
        return service;
    }
    reader.onlyKeys(value, path, {"team", "kinds", "queue_limit", "concurrency_limit", "grant_retries", "long_after_ms", "drain_ms"});
    reader.number(value, path, "queue_limit", {1, MAX_TASKS_WAITING}, service.queueLimit);
    reader.number(value, path, "concurrency_limit", {0, MAX_TASKS_WAITING}, service.concurrencyLimit);
    reader.number(value, path, "grant_retries", {0, 1000}, service.grantRetries);
    reader.number(value, path, "long_after_ms", {1, MAX_DEADLINE_MS}, service.longAfterMs);
    reader.number(value, path, "drain_ms", {0, MAX_DEADLINE_MS}, service.drainTime);
    if (!value.contains("team") || !value["team"].is_string()) {
        reader.fail(path + "/team", "must name a team: add a string");
    } else {
        service.team = value["team"].get<std::string>();
    }
    if (!value.contains("kinds") || !value["kinds"].is_object() || value["kinds"].empty()) {
        reader.fail(path + "/kinds", "must be an object with at least one request kind");
        return service;
    }
    for (const auto &[name, kind] : value["kinds"].items()) {
        const std::string kindPath = fmt::format("{}/kinds/{}", path, name);
        if (reader.isName(name, kindPath)) {
            service.kinds[name] = readKind(reader, kind, kindPath);
        }
    }
    return service;
}

TeamConfig readTeam(Reader &reader, const json &value, const std::string &path)
{
    TeamConfig team;
    if (!reader.isObject(value, path)) {
        return team;
    }
    reader.onlyKeys(value, path, {"weight", "max_waiting"});
    reader.number(value, path, "weight", {1, MAX_WEIGHT}, team.weight);
    reader.number(value, path, "max_waiting", {1, MAX_TASKS_WAITING}, team.maxWaiting);
    return team;
}

void readDocument(Reader &reader, const json &document, Config &config)
{
    if (!reader.isObject(document, "")) {
        return;
    }
    reader.onlyKeys(document, "", {"services", "teams"});
    for (const char *key : {"services", "teams"}) {
        if (!document.contains(key)) {
            reader.fail(fmt::format("/{}", key), "is missing: add an object");
        } else {
            reader.isObject(document[key], fmt::format("/{}", key));
        }
    }
    if (document.contains("teams") && document["teams"].is_object()) {
        for (const auto &[name, team] : document["teams"].items()) {
            const std::string path = "/teams/" + name;
            if (reader.isName(name, path)) {
                config.teams[name] = readTeam(reader, team, path);
            }
        }
    }
    if (document.contains("services") && document["services"].is_object()) {
        for (const auto &[name, service] : document["services"].items()) {
            const std::string path = "/services/" + name;
            if (reader.isName(name, path)) {
                config.services[name] = readService(reader, service, path);
            }
        }
    }
    for (const auto &[name, service] : config.services) {
        if (!service.team.empty() && !config.teams.contains(service.team)) {
            reader.fail(fmt::format("/services/{}/team", name), fmt::format("team \"{}\" is not defined: add it to /teams", service.team));
        }
    }
}

json serviceJson(const ServiceConfig &service)
{
    json kinds = json::object();
    for (const auto &[name, kind] : service.kinds) {
        kinds[name] = {{"deadline_ms", kind.deadline.count()}, {"idempotent", kind.idempotent}};
    }
    return {{"team", service.team},
            {"kinds", kinds},
            {"queue_limit", service.queueLimit},
            {"concurrency_limit", service.concurrencyLimit},
            {"grant_retries", service.grantRetries},
            {"long_after_ms", service.longAfterMs},
            {"drain_ms", service.drainTime.count()}};
}

template<typename Map>
void diffMap(std::string_view what, const Map &before, const Map &after, std::vector<std::string> &lines)
{
    for (const auto &[name, value] : before) {
        const auto found = after.find(name);
        if (found == after.end()) {
            lines.push_back(fmt::format("- {} {}", what, name));
        } else if (!(found->second == value)) {
            lines.push_back(fmt::format("~ {} {}", what, name));
        }
    }
    for (const auto &[name, value] : after) {
        if (!before.contains(name)) {
            lines.push_back(fmt::format("+ {} {}", what, name));
        }
    }
}

}

ConfigCheck checkConfig(std::string_view text)
{
    ConfigCheck check;
    Reader reader(check.errors);
    if (text.size() > MAX_CONFIG_BYTES) {
        reader.fail("", fmt::format("the document has more than {} bytes: split the services over several teams", MAX_CONFIG_BYTES));
        return check;
    }
    const json document = json::parse(text, nullptr, false);
    if (document.is_discarded()) {
        reader.fail("", "is not JSON: check brackets, commas and quotes");
        return check;
    }
    readDocument(reader, document, check.config);
    return check;
}

absl::StatusOr<Config> readAcceptedConfig(std::string_view text, ConfigVersion version)
{
    ConfigCheck check = checkConfig(text);
    if (!check.errors.empty()) {
        const ConfigError &first = check.errors.front();
        return absl::InvalidArgumentError(
            fmt::format("configuration {} at {}: {}", static_cast<std::uint64_t>(version), first.path, first.message));
    }
    check.config.version = version;
    return std::move(check.config);
}

std::string serviceToJson(const ServiceConfig &service)
{
    return serviceJson(service).dump();
}

std::vector<std::string> diffConfig(const Config &before, const Config &after)
{
    std::vector<std::string> lines;
    diffMap("team", before.teams, after.teams, lines);
    diffMap("service", before.services, after.services, lines);
    return lines;
}

}
