#include "core/findings.hpp"

namespace siskinpaddle {

void findings::add(std::string location, std::string message) {
    m_items.push_back({std::move(location), std::move(message)});
}

void findings::append(const findings& other, const std::string& prefix) {
    for (const finding& item : other.m_items) {
        // A finding about the whole input has no JSON pointer, so the colon that separates the file name from
        // the pointer is omitted.
        const bool is_whole_input = item.location.empty() && prefix.ends_with(':');
        m_items.push_back(
            {is_whole_input ? prefix.substr(0, prefix.size() - 1) : prefix + item.location, item.message});
    }
}

std::string findings::to_string() const {
    std::string text;
    for (const finding& item : m_items) {
        text += (item.location.empty() ? "/" : item.location) + ": " + item.message + "\n";
    }
    return text;
}

} // namespace siskinpaddle
