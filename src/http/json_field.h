/** @file json_field.h Reads fields of JSON documents from other programs, which may lack fields or give them another type. */

#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace medlarmill
{

/** @param document a document. @param name name of a field. @return the number, or 0 when there is no such field of that type. */
inline std::uint64_t numberField(const nlohmann::json &document, const char *name)
{
    const auto found = document.is_object() ? document.find(name) : document.end();
    return found != document.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

/** @param document a document. @param name name of a field. @return the text, or an empty one when there is no such field of that type. */
inline std::string textField(const nlohmann::json &document, const char *name)
{
    const auto found = document.is_object() ? document.find(name) : document.end();
    return found != document.end() && found->is_string() ? found->get<std::string>() : std::string();
}

/** @param document a document. @param name name of a field. @return whether it is true; false when there is no such field of that type. */
inline bool flagField(const nlohmann::json &document, const char *name)
{
    const auto found = document.is_object() ? document.find(name) : document.end();
    return found != document.end() && found->is_boolean() && found->get<bool>();
}

}
