#pragma once

#include <string>
#include <vector>

namespace siskinpaddle {

/// One problem in an input and its location.
struct finding {
    std::string location; ///< File and JSON path, e.g. "entry.json:/platform/port".
    std::string message;

    bool operator==(const finding&) const = default;
};

/// Collects all problems in an input so that a user can fix them in one pass. Not thread-safe.
class findings {
  public:
    /// Records a finding. `location` may be empty when the finding concerns the whole input.
    void add(std::string location, std::string message);

    /// Appends all findings of `other`, with `prefix` before each location.
    void append(const findings& other, const std::string& prefix = {});

    [[nodiscard]] bool empty() const noexcept { return m_items.empty(); }
    [[nodiscard]] const std::vector<finding>& items() const noexcept { return m_items; }

    /// One line per finding, "location: message".
    [[nodiscard]] std::string to_string() const;

  private:
    std::vector<finding> m_items;
};

} // namespace siskinpaddle
