#pragma once

#include "net/net.hpp"
#include "node/peer_protocol.hpp"

#include <functional>
#include <memory>
#include <utility>

namespace siskinpaddle::node {

/// Replies exactly once, even if the last holder of the callback drops it. Not thread-safe.
///
/// A pool's owner keeps replies until the results that they report are stored. When another node takes the
/// pool over meanwhile, the owner's state is dropped together with its pending replies. A reply that is
/// dropped unused reports that the outcome is unknown; otherwise the client would get 500, which states
/// neither that the job is stored nor that it never runs.
class guaranteed_reply {
  public:
    using callback = std::function<void(const peer_answer&)>;

    /// `alive` expires when `done` may no longer be called.
    [[nodiscard]] static callback make(callback done, std::weak_ptr<void> alive) {
        const auto shared = std::make_shared<guaranteed_reply>(std::move(done), std::move(alive));
        return [shared](const peer_answer& answer) { shared->send(answer); };
    }

    guaranteed_reply(callback done, std::weak_ptr<void> alive)
        : m_done(std::move(done)), m_alive(std::move(alive)) {}
    guaranteed_reply(const guaranteed_reply&) = delete;
    guaranteed_reply& operator=(const guaranteed_reply&) = delete;
    ~guaranteed_reply() { send(make_answer(peer_outcome::unknown)); }

  private:
    void send(const peer_answer& answer) {
        const callback done = std::exchange(m_done, {});
        if (done && !m_alive.expired()) {
            done(answer);
        }
    }

    callback m_done;
    std::weak_ptr<void> m_alive;
};

} // namespace siskinpaddle::node
