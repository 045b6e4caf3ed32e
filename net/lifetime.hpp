#pragma once

#include <memory>

namespace siskinpaddle {

/// Lets a posted call find out whether its object still exists when its turn comes. Not thread-safe.
class lifetime {
  public:
    /// Expires when the owner is destroyed.
    [[nodiscard]] std::weak_ptr<void> weak_token() const { return m_token; }

  private:
    std::shared_ptr<void> m_token = std::make_shared<char>();
};

} // namespace siskinpaddle
