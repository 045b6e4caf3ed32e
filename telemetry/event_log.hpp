#pragma once

#include "telemetry/event_catalogue.hpp"

#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace siskinpaddle {

/// One field of an event; the value is stored as text.
struct event_field {
    std::string_view name;
    std::string value;

    event_field(std::string_view field, std::string_view text) : name(field), value(text) {}
    event_field(std::string_view field, const std::string& text) : name(field), value(text) {}
    event_field(std::string_view field, const char* text) : name(field), value(text) {}
    template <typename Number>
    requires std::is_arithmetic_v<Number> event_field(std::string_view field, Number number)
        : name(field), value(std::to_string(number)) {}
};

/// Starts logging events from `min_level` upwards to `descriptor` (standard output by default), one line
/// each. Logging never waits for the reader. Call before any thread logs; a second call replaces the first.
void start_event_log(std::string_view process, event_level min_level, int descriptor = 1);

/// Writes the buffered lines. Call periodically: lines that are logged within a short time are coalesced, and
/// the last ones are otherwise buffered until the next line is logged.
void flush_event_log();

/// Writes one event: time, level, process, number, name and `key=value` fields. Empty values and values with
/// blanks or quotes are quoted. Thread-safe. Fields must never contain credentials.
void log_event(event_id id, std::initializer_list<event_field> fields = {});

} // namespace siskinpaddle
