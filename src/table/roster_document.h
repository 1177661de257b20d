/** @file roster_document.h The roster as a row of the platform's table. */

#pragma once

#include "wire/generated/medlarmill.pb.h"

#include <absl/status/statusor.h>
#include <string>

namespace medlarmill
{

/** Writes a roster as JSON, so that operators can read the row. @param roster the roster. @return the document. */
std::string rosterToJson(const wire::Roster &roster);

/** Reads a roster. @param text the document; empty for none. @return the roster, version 0 for none, or why it cannot be read. */
absl::StatusOr<wire::Roster> rosterFromJson(const std::string &text);

}
