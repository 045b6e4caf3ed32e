#include "soak/configuration_checks.hpp"

#include <iterator>

namespace siskinpaddle::soak {

namespace {

/// The newest version that was published by `time`; the end if there is none.
publication_times::const_iterator newest_at(const publication_times& published, timestamp time) {
    auto newest = published.end();
    for (auto item = published.begin(); item != published.end() && item->second <= time; ++item) {
        newest = item;
    }
    return newest;
}

std::string describe(std::string_view what, std::int64_t version, milliseconds age) {
    return std::string(what) + " " + std::to_string(age.count()) + " ms after version " +
           std::to_string(version) + " was published";
}

} // namespace

std::optional<std::string> check_time_to_effect(const configuration_report& report,
                                                const publication_times& published,
                                                milliseconds configuration_time) {
    const auto required = newest_at(published, report.sent - configuration_time);
    if (required == published.end()) {
        return std::nullopt;
    }
    const auto [version, published_at] = *required;
    const milliseconds age = report.sent - published_at;
    const auto next = std::next(required);
    const bool is_replaced = next != published.end() && next->second <= report.answered;
    if (report.is_missing && report.queried_version == version && !is_replaced) {
        return describe("a queue was refused as unknown", version, age);
    }
    if (!report.was_in_touch) {
        return std::nullopt;
    }
    if (report.is_present && report.queried_version < version) {
        return describe("the queue of version " + std::to_string(report.queried_version) + " was served",
                        version, age);
    }
    if (report.reported_version && *report.reported_version < version) {
        return describe("version " + std::to_string(*report.reported_version) + " was in force", version,
                        age);
    }
    return std::nullopt;
}

} // namespace siskinpaddle::soak
