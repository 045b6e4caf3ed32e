#include "telemetry/event_log.hpp"

#include "telemetry/line_writer.hpp"

#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <chrono>
#include <cstdlib>
#include <ctime>
#include <unistd.h>

namespace siskinpaddle {

namespace {

event_level configured_min_level = event_level::info;
std::string process_name = "siskinpaddle";

const event_definition& definition_of(event_id id) {
    for (const event_definition& definition : event_catalogue) {
        if (definition.id == id) {
            return definition;
        }
    }
    return event_catalogue.front();
}

std::string quote_if_needed(const std::string& value) {
    if (!value.empty() && value.find_first_of(" \"\n\r\t") == std::string::npos) {
        return value;
    }
    std::string text = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        text += c == '\n' || c == '\r' ? ' ' : c;
    }
    return text + "\"";
}

std::string format_wall_time() {
    const auto now = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    std::tm utc{};
    gmtime_r(&seconds, &utc);
    std::array<char, 32> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%FT%T", &utc);
    const std::string fraction = std::to_string(1000 + ms);
    return std::string(text.data(), length) + "." + fraction.substr(1) + "Z";
}

} // namespace

namespace {

/// Passes formatted lines to the non-blocking writer. Boost.Log calls the backend for one line at a time.
class line_backend
    : public boost::log::sinks::basic_formatted_sink_backend<char, boost::log::sinks::synchronized_feeding> {
  public:
    explicit line_backend(int descriptor) : m_writer(descriptor) {}

    void consume(const boost::log::record_view&, const string_type& line) { m_writer.write(line); }
    void flush() { m_writer.flush(); }
    [[nodiscard]] std::uint64_t reset_dropped_count() { return m_writer.reset_dropped_count(); }

  private:
    line_writer m_writer;
};

using line_sink = boost::log::sinks::synchronous_sink<line_backend>;

boost::shared_ptr<line_sink> active_sink;

} // namespace

void start_event_log(std::string_view process, event_level min_level, int descriptor) {
    process_name = process;
    configured_min_level = min_level;
    active_sink = boost::make_shared<line_sink>(boost::make_shared<line_backend>(descriptor));
    active_sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    boost::log::core::get()->remove_all_sinks();
    boost::log::core::get()->add_sink(active_sink);
    std::atexit(flush_event_log);
}

void flush_event_log() {
    if (active_sink == nullptr) {
        return;
    }
    const std::uint64_t dropped = active_sink->locked_backend()->reset_dropped_count();
    if (dropped > 0) {
        log_event(event_id::log_lines_dropped, {{"lines", dropped}});
    }
    active_sink->flush();
}

void log_event(event_id id, std::initializer_list<event_field> fields) {
    const event_definition& definition = definition_of(id);
    if (definition.level < configured_min_level) {
        return;
    }
    std::string line = format_wall_time() + " " + std::string(name_of(definition.level)) + " " +
                       process_name + " " + std::to_string(static_cast<int>(id)) + " " +
                       std::string(definition.name);
    for (const event_field& field : fields) {
        line += " " + std::string(field.name) + "=" + quote_if_needed(field.value);
    }
    static boost::log::sources::logger_mt logger;
    BOOST_LOG(logger) << line;
}

} // namespace siskinpaddle
