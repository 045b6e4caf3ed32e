#pragma once

#include <string>
#include <vector>

namespace siskinpaddle {

/// One thing wrong with an input, with the place a person has to look at.
struct finding {
    std::string location; ///< File and JSON path, e.g. "entry.json:/platform/port".
    std::string message;

    bool operator==(const finding&) const = default;
};

/// Collects everything wrong with an input so that a person can mend it in one go. Not thread-safe.
class findings {
  public:
    /// Records a finding. `place` may be empty when the whole input is meant.
    void add(std::string location, std::string message);

    /// Takes over all findings of `other`, each place prefixed with `prefix`.
    void append(const findings& other, const std::string& prefix = {});

    [[nodiscard]] bool empty() const noexcept { return m_items.empty(); }
    [[nodiscard]] const std::vector<finding>& items() const noexcept { return m_items; }

    /// One line per finding, "place: message".
    [[nodiscard]] std::string to_string() const;

  private:
    std::vector<finding> m_items;
};

} // namespace siskinpaddle
