#include "telemetry/event_log.hpp"

#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <chrono>
#include <ctime>
#include <iostream>

namespace siskinpaddle {

namespace {

event_level least_level = event_level::info;
std::string process_name = "siskinpaddle";

const event_entry& entry_for(event_id id) {
    for (const event_entry& entry : event_catalogue) {
        if (entry.id == id) {
            return entry;
        }
    }
    return event_catalogue.front();
}

std::string quoted(const std::string& value) {
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

std::string wall_time() {
    const auto now = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%FT%T", &parts);
    const std::string fraction = std::to_string(1000 + ms);
    return std::string(text.data(), length) + "." + fraction.substr(1) + "Z";
}

} // namespace

void start_event_log(std::string_view process, event_level least) {
    namespace sinks = boost::log::sinks;
    process_name = process;
    least_level = least;
    auto backend = boost::make_shared<sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
    backend->auto_flush(true);
    using sink = sinks::synchronous_sink<sinks::text_ostream_backend>;
    auto frontend = boost::make_shared<sink>(backend);
    frontend->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(frontend);
}

void log_event(event_id id, std::initializer_list<event_field> fields) {
    const event_entry& entry = entry_for(id);
    if (entry.level < least_level) {
        return;
    }
    std::string line = wall_time() + " " + std::string(name_of(entry.level)) + " " + process_name + " " +
                       std::to_string(static_cast<int>(id)) + " " + std::string(entry.name);
    for (const event_field& field : fields) {
        line += " " + std::string(field.name) + "=" + quoted(field.value);
    }
    static boost::log::sources::logger_mt logger;
    BOOST_LOG(logger) << line;
}

} // namespace siskinpaddle
