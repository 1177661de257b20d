/** @file name_map_type.h Ordered map by name that can be searched with a view. */

#pragma once

#include <functional>
#include <map>
#include <string>

namespace medlarmill
{

template<typename T>
using NameMap
    = std::map<std::string, T, std::less<>>; ///< Debian's absl is built without std::string_view, so its maps cannot be searched by view.

}
