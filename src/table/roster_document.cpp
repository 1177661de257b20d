/** @file roster_document.cpp The roster as a row of the platform's table. */

#include "table/roster_document.h"

#include <nlohmann/json.hpp>

namespace medlarmill
{

using nlohmann::json;

std::string rosterToJson(const wire::Roster &roster)
{
    json document = {{"version", roster.version()}, {"members", json::array()}, {"removed", json::array()}};
    for (const wire::RosterMember &member : roster.members()) {
        document["members"].push_back({{"name", member.name()},
                                       {"incarnation", member.incarnation()},
                                       {"address", member.address()},
                                       {"zone", member.zone()},
                                       {"leaving", member.leaving()}});
    }
    for (const wire::RemovedMember &removed : roster.removed()) {
        document["removed"].push_back({{"incarnation", removed.incarnation()}, {"removed_unix_ms", removed.removed_unix_ms()}});
    }
    return document.dump();
}

absl::StatusOr<wire::Roster> rosterFromJson(const std::string &text)
{
    wire::Roster roster;
    if (text.empty()) {
        return roster;
    }
    try {
        const json document = json::parse(text);
        roster.set_version(document.at("version").get<std::uint64_t>());
        for (const json &item : document.at("members")) {
            wire::RosterMember *member = roster.add_members();
            member->set_name(item.at("name").get<std::string>());
            member->set_incarnation(item.at("incarnation").get<std::uint64_t>());
            member->set_address(item.at("address").get<std::string>());
            member->set_zone(item.at("zone").get<std::string>());
            member->set_leaving(item.at("leaving").get<bool>());
        }
        for (const json &item : document.at("removed")) {
            wire::RemovedMember *removed = roster.add_removed();
            removed->set_incarnation(item.at("incarnation").get<std::uint64_t>());
            removed->set_removed_unix_ms(item.at("removed_unix_ms").get<std::uint64_t>());
        }
    } catch (const json::exception &error) {
        return absl::DataLossError(std::string("the roster row cannot be read: ") + error.what());
    }
    return roster;
}

}
