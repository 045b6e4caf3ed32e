#pragma once

#include <memory>

namespace siskinpaddle {

/// Lets a posted callback check whether its object still exists when the callback runs. Not thread-safe.
class lifetime {
  public:
    /// Returns a token that expires when the owner of this object is destroyed.
    [[nodiscard]] std::weak_ptr<void> weak_token() const { return m_token; }

  private:
    std::shared_ptr<void> m_token = std::make_shared<char>();
};

} // namespace siskinpaddle
