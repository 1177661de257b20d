/** @file json_limits.cpp Checks a JSON text against limits. */

#include "http/json_limits.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace medlarmill
{

namespace
{

using nlohmann::json;

/** Counts values and depth; returning false ends the parser. */
class LimitCounter : public json::json_sax_t
{
public:
    explicit LimitCounter(const JsonLimits &limits)
        : limits_(limits)
    { }

    bool null() override
    {
        return countValue();
    }
    bool boolean(bool /*value*/) override
    {
        return countValue();
    }
    bool number_integer(number_integer_t /*value*/) override
    {
        return countValue();
    }
    bool number_unsigned(number_unsigned_t /*value*/) override
    {
        return countValue();
    }
    bool number_float(number_float_t /*value*/, const string_t & /*text*/) override
    {
        return countValue();
    }
    bool string(string_t & /*value*/) override
    {
        return countValue();
    }
    bool binary(binary_t & /*value*/) override
    {
        return countValue();
    }
    bool start_object(std::size_t /*elements*/) override
    {
        return enter();
    }
    bool key(string_t & /*value*/) override
    {
        return true;
    }
    bool end_object() override
    {
        --depth_;
        return true;
    }
    bool start_array(std::size_t /*elements*/) override
    {
        return enter();
    }
    bool end_array() override
    {
        --depth_;
        return true;
    }
    bool parse_error(std::size_t position, const std::string & /*token*/, const json::exception & /*error*/) override
    {
        status_ = absl::InvalidArgumentError(fmt::format("no JSON at byte {}", position));
        return false;
    }

    const absl::Status &status() const
    {
        return status_;
    }

private:
    bool countValue()
    {
        if (++values_ > limits_.maxValues) {
            status_ = absl::ResourceExhaustedError(fmt::format("the document has more than {} values", limits_.maxValues));
            return false;
        }
        return true;
    }

    bool enter()
    {
        if (++depth_ > limits_.maxDepth) {
            status_ = absl::ResourceExhaustedError(fmt::format("the document is nested more than {} deep", limits_.maxDepth));
            return false;
        }
        return countValue();
    }

    const JsonLimits &limits_;
    absl::Status status_;
    std::size_t values_ = 0;
    std::size_t depth_ = 0;
};

}

absl::Status checkJson(std::string_view text, const JsonLimits &limits)
{
    if (text.size() > limits.maxBytes) {
        return absl::ResourceExhaustedError(fmt::format("the document has more than {} bytes", limits.maxBytes));
    }
    LimitCounter counter(limits);
    if (!json::sax_parse(text.begin(), text.end(), &counter) && counter.status().ok()) {
        return absl::InvalidArgumentError("no JSON");
    }
    return counter.status();
}

}
