#pragma once

#include "net/net.hpp"
#include "node/peer_protocol.hpp"

#include <functional>
#include <memory>
#include <utility>

namespace siskinpaddle::node {

/// A reply that is given once, whatever happens to whoever holds it. Not thread-safe.
///
/// A pool's owner keeps replies until what they tell is stored. When another node owns the pool meanwhile,
/// its state is dropped, and the replies with it; the clients were told 500, which says neither that their
/// job is kept nor that it will not run. Dropped unused, this replies that the outcome is unknown.
class guaranteed_reply {
  public:
    using callback = std::function<void(const peer_answer&)>;

    /// `alive`: expires when `done` may no longer be called.
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
