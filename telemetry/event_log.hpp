#pragma once

#include "telemetry/event_catalogue.hpp"

#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace siskinpaddle {

/// One field of an event, as text.
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

/// Sends events to `descriptor` (standard output), one line each, from `least` upwards. Never waits for the
/// reader. Call before any thread logs; a second call replaces the first.
void start_event_log(std::string_view process, event_level min_level, int descriptor = 1);

/// Writes what was collected; call now and then, since lines that come together are written together, and the
/// last ones wait for the next.
void flush_event_log();

/// Writes one event: time, level, number, name and `key=value` fields. Values with blanks are quoted.
/// Thread-safe. Credentials must never be among the fields.
void log_event(event_id id, std::initializer_list<event_field> fields = {});

} // namespace siskinpaddle
