/** @file config_commands.cpp Commands on the configuration: validate, diff, submit, show, history, roll. */

#include "config/config_func.h"
#include "ctl/command_type.h"
#include "daemon/random.h"
#include "net/address.h"
#include "table/http_table_service.h"

#include <fmt/core.h>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>

namespace medlarmill
{

namespace
{

using nlohmann::json;

constexpr int RESOLVE_ATTEMPTS = 5; ///< Reads that try to learn whether a change without a reply took effect.
constexpr std::uint64_t HISTORY_LENGTH = 20; ///< Versions that `history` prints.

/** The newest configuration in the table. */
struct Head
{
    std::uint64_t row = 0; ///< Version of the head row.
    std::uint64_t version = 0; ///< Version of the configuration.
    std::string changeId; ///< Change that made it.
};

std::optional<std::string> readFile(const std::string &path)
{
    if (path == "-") {
        return std::string(std::istreambuf_iterator<char>(std::cin), {});
    }
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << " cannot be read: check the path\n";
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

int printCheck(const CommandContext &context, const ConfigCheck &check)
{
    if (context.isJson()) {
        json errors = json::array();
        for (const ConfigError &error : check.errors) {
            errors.push_back({{"path", error.path}, {"message", error.message}});
        }
        std::cout << json({{"valid", check.errors.empty()}, {"errors", errors}}).dump() << '\n';
    } else {
        for (const ConfigError &error : check.errors) {
            std::cerr << (error.path.empty() ? "/" : error.path) << ": " << error.message << '\n';
        }
        if (check.errors.empty()) {
            std::cout << "valid: " << check.config.services.size() << " services, " << check.config.teams.size() << " teams\n";
        }
    }
    return check.errors.empty() ? EXIT_OK : EXIT_INVALID;
}

std::unique_ptr<TableService> openTable(const CommandContext &context)
{
    if (context.settings.text("platform").empty()) {
        std::cerr << "--platform (MEDLARMILL_PLATFORM) is required for this command\n";
        return nullptr;
    }
    return std::make_unique<HttpTableService>(*parseAddress(context.settings.text("platform")),
                                              Millis(context.settings.number("timeout-ms")));
}

absl::StatusOr<Head> readHead(TableService &table)
{
    const auto row = table.read(CONFIG_HEAD_KEY);
    if (!row.ok()) {
        return row.status();
    }
    Head head;
    head.row = row->version;
    const json document = json::parse(row->value.empty() ? "{}" : row->value, nullptr, false);
    if (!document.is_object()) {
        return absl::DataLossError("the head row cannot be read");
    }
    head.version = document.value("version", std::uint64_t{0});
    head.changeId = document.value("change_id", "");
    return head;
}

absl::StatusOr<json> readVersion(TableService &table, std::uint64_t version)
{
    const auto row = table.read(fmt::format("{}{}", CONFIG_LOG_PREFIX, version));
    if (!row.ok()) {
        return row.status();
    }
    json document = json::parse(row->value, nullptr, false);
    if (!document.is_object() || !document.contains("document")) {
        return absl::NotFoundError(fmt::format("there is no version {}: see history", version));
    }
    return document;
}

int fail(const absl::Status &status)
{
    std::cerr << status.message() << '\n';
    return status.code() == absl::StatusCode::kNotFound ? EXIT_INVALID : EXIT_FAILED;
}

int printSubmitted(const CommandContext &context, std::uint64_t version)
{
    if (context.isJson()) {
        std::cout << json({{"version", version}}).dump() << '\n';
    } else {
        std::cout << "accepted as version " << version << '\n';
    }
    return EXIT_OK;
}

int conflict(std::uint64_t basedOn, std::uint64_t newest)
{
    std::cerr << fmt::format(
        "conflict: the change is based on version {}, the newest is {}; compare with diff, take the other change in, and submit again\n",
        basedOn, newest);
    return EXIT_CONFLICT;
}

/** Learns what became of a commit without a reply: its change id is in the log when it took effect. */
int resolveLostReply(const CommandContext &context, TableService &table, std::uint64_t version, const std::string &changeId)
{
    for (int attempt = 0; attempt < RESOLVE_ATTEMPTS; ++attempt) {
        const auto row = table.read(fmt::format("{}{}", CONFIG_LOG_PREFIX, version));
        if (!row.ok()) {
            continue;
        }
        if (row->version == 0) {
            std::cerr << "not accepted: the platform did not take the change; submit again\n";
            return EXIT_FAILED;
        }
        const json document = json::parse(row->value, nullptr, false);
        const bool isOurs = document.is_object() && document.value("change_id", "") == changeId;
        return isOurs ? printSubmitted(context, version) : conflict(version - 1, version);
    }
    std::cerr << fmt::format("undecided: the platform does not answer; see whether `history` has change {} later\n", changeId);
    return EXIT_UNDECIDED;
}

int submitText(const CommandContext &context, TableService &table, const std::string &text)
{
    const ConfigCheck check = checkConfig(text);
    if (!check.errors.empty()) {
        return printCheck(context, check);
    }
    const auto head = readHead(table);
    if (!head.ok()) {
        return fail(head.status());
    }
    const bool hasBase = !context.settings.text("based-on").empty();
    if (hasBase && context.settings.number("based-on") != head->version) {
        return conflict(context.settings.number("based-on"), head->version);
    }
    const std::uint64_t version = head->version + 1;
    const std::string changeId = fmt::format("{:016x}", systemRandom());
    const json document = json::parse(text);
    const std::string entry = json({{"version", version}, {"change_id", changeId}, {"unix_ms", unixMs()}, {"document", document}}).dump();
    const std::string headText = json({{"version", version}, {"change_id", changeId}}).dump();
    const absl::Status status = table.commit(
        {{{CONFIG_HEAD_KEY, head->row}},
         {{CONFIG_HEAD_KEY, headText}, {CONFIG_SNAPSHOT_KEY, entry}, {fmt::format("{}{}", CONFIG_LOG_PREFIX, version), entry}}});
    if (status.ok()) {
        return printSubmitted(context, version);
    }
    if (absl::IsAborted(status)) {
        return conflict(head->version, version);
    }
    return resolveLostReply(context, table, version, changeId);
}

int validate(const CommandContext &context)
{
    const auto text = readFile(context.arguments[0]);
    return text ? printCheck(context, checkConfig(*text)) : EXIT_FAILED;
}

int submit(const CommandContext &context)
{
    const auto text = readFile(context.arguments[0]);
    const auto table = openTable(context);
    return text && table != nullptr ? submitText(context, *table, *text) : EXIT_FAILED;
}

int diff(const CommandContext &context)
{
    const auto text = readFile(context.arguments[0]);
    const auto table = openTable(context);
    if (!text || table == nullptr) {
        return EXIT_FAILED;
    }
    const ConfigCheck after = checkConfig(*text);
    if (!after.errors.empty()) {
        return printCheck(context, after);
    }
    const auto snapshot = table->read(CONFIG_SNAPSHOT_KEY);
    if (!snapshot.ok()) {
        return fail(snapshot.status());
    }
    const json current = json::parse(snapshot->value, nullptr, false);
    const ConfigCheck before = checkConfig(current.is_object() ? current["document"].dump() : R"({"services":{},"teams":{}})");
    const std::vector<std::string> lines = diffConfig(before.config, after.config);
    if (context.isJson()) {
        std::cout << json({{"changes", lines}}).dump() << '\n';
        return EXIT_OK;
    }
    for (const std::string &line : lines) {
        std::cout << line << '\n';
    }
    return EXIT_OK;
}

int show(const CommandContext &context)
{
    const auto table = openTable(context);
    if (table == nullptr) {
        return EXIT_FAILED;
    }
    const auto snapshot = table->read(CONFIG_SNAPSHOT_KEY);
    if (!snapshot.ok()) {
        return fail(snapshot.status());
    }
    const json current = json::parse(snapshot->value, nullptr, false);
    if (!current.is_object()) {
        std::cerr << "there is no configuration yet: submit one\n";
        return EXIT_INVALID;
    }
    std::cout << (context.isJson() ? current.dump() : current["document"].dump(2)) << '\n';
    return EXIT_OK;
}

int history(const CommandContext &context)
{
    const auto table = openTable(context);
    if (table == nullptr) {
        return EXIT_FAILED;
    }
    const auto head = readHead(*table);
    if (!head.ok()) {
        return fail(head.status());
    }
    json lines = json::array();
    for (std::uint64_t back = 0; back < HISTORY_LENGTH && back < head->version; ++back) {
        const auto entry = readVersion(*table, head->version - back);
        if (!entry.ok()) {
            return fail(entry.status());
        }
        lines.push_back({{"version", (*entry)["version"]}, {"change_id", (*entry)["change_id"]}, {"unix_ms", (*entry)["unix_ms"]}});
    }
    if (context.isJson()) {
        std::cout << lines.dump() << '\n';
        return EXIT_OK;
    }
    for (const json &line : lines) {
        std::cout << "version " << line["version"] << " change " << line["change_id"].get<std::string>() << " unix_ms " << line["unix_ms"]
                  << '\n';
    }
    return EXIT_OK;
}

int roll(const CommandContext &context)
{
    const auto table = openTable(context);
    if (table == nullptr) {
        return EXIT_FAILED;
    }
    const auto entry = readVersion(*table, std::strtoull(context.arguments[0].c_str(), nullptr, 10));
    return entry.ok() ? submitText(context, *table, (*entry)["document"].dump()) : fail(entry.status());
}

}

std::vector<Command> configCommands()
{
    return {{"validate", "FILE", "Check a configuration; print every error", 1, validate},
            {"diff", "FILE", "Compare a configuration with the newest", 1, diff},
            {"submit", "FILE", "Submit a configuration (compare-and-swap)", 1, submit},
            {"show", "", "Print the newest configuration", 0, show},
            {"history", "", "Print the last versions", 0, history},
            {"roll", "VERSION", "Submit the content of an earlier version as a new one", 1, roll}};
}

}
