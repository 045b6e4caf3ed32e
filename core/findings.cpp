#include "core/findings.hpp"

namespace siskinpaddle {

void findings::add(std::string place, std::string message) {
    m_items.push_back({std::move(place), std::move(message)});
}

void findings::append(const findings& other, const std::string& prefix) {
    for (const finding& item : other.m_items) {
        // A finding about the whole input has no pointer for the prefix's colon to part from the file's name.
        const bool whole = item.place.empty() && prefix.ends_with(':');
        m_items.push_back({whole ? prefix.substr(0, prefix.size() - 1) : prefix + item.place, item.message});
    }
}

std::string findings::to_string() const {
    std::string text;
    for (const finding& item : m_items) {
        text += (item.place.empty() ? "/" : item.place) + ": " + item.message + "\n";
    }
    return text;
}

} // namespace siskinpaddle
