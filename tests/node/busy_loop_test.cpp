#include "fakes/platform_store.hpp"
#include "net/loop_until.hpp"
#include "node/store_health.hpp"

#include <atomic>
#include <doctest/doctest.h>
#include <thread>

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

/// A store on its own thread and event loop, so that only the client's loop is busy.
class separate_store {
  public:
    separate_store() : m_thread([this] { run(); }) {
        while (m_port == 0) {
            std::this_thread::yield();
        }
    }
    separate_store(const separate_store&) = delete;
    separate_store& operator=(const separate_store&) = delete;
    ~separate_store() {
        m_ended = true;
        m_thread.join();
    }
    [[nodiscard]] endpoint where() const { return {"127.0.0.1", m_port}; }

  private:
    void run() {
        event_loop loop;
        fakes::platform_store store(loop);
        if (store.listen({"127.0.0.1", 0})) {
            m_port = store.port();
        }
        loop_until(
            loop, [&] { return m_ended.load(); }, 120s);
    }

    std::atomic<std::uint16_t> m_port = 0;
    std::atomic<bool> m_ended = false;
    std::thread m_thread;
};

/// Blocks each iteration of the loop for `length`, in four parts; `handled` is called after each part.
void make_busy(event_loop& loop, std::unique_ptr<timer>& busy, milliseconds length,
               const std::function<void()>& handled = {}) {
    busy = loop.make_timer([&busy, length, handled] {
        for (int i = 0; i < 4; ++i) {
            std::this_thread::sleep_for(length / 4);
            if (handled) {
                handled();
            }
        }
        busy->start(0ms);
    });
    busy->start(0ms);
}

} // namespace

TEST_CASE("a store that answers at once does not count as failing at a busy node") {
    // Guards against submits that are refused with 503 or stored in the inbox although the store answers
    // within milliseconds: with loop iterations of 200 ms a call takes three of them, over half a second, and
    // its unread answer must not count as a failure of the store.
    for (const milliseconds iteration_time : {100ms, 150ms, 200ms, 240ms}) {
        separate_store store;
        event_loop loop;
        platform::store_client client(loop, store.where());
        std::unique_ptr<timer> busy;
        int check_count = 0;
        int failing = 0;
        int answered = 0;
        make_busy(loop, busy, iteration_time, [&] {
            ++check_count;
            failing += node::store_is_failing(client, event_loop::now()) ? 1 : 0;
            client.get("k", [&](const platform::store_answer&) { ++answered; });
        });
        REQUIRE(loop_until(loop, [&] { return answered >= 40; }));
        INFO("iteration ", iteration_time.count(), " ms, checks ", check_count);
        CHECK(failing == 0);
    }
}

TEST_CASE("a busy node stores a full batch of large jobs") {
    // Guards against a batch that is never stored: 31 jobs of 4,000 bytes form one transaction of 170 KB, of
    // which 16 KB are sent in each iteration of the loop. At 150 ms an iteration the call times out half sent
    // after 1.5 s, and a retry of the same call fails in the same way while the load lasts.
    constexpr std::size_t payload = 4000;
    constexpr std::size_t jobs = platform::max_transaction_entries - 1;
    for (const milliseconds iteration_time : {50ms, 100ms, 150ms, 200ms}) {
        INFO("iteration ", iteration_time.count(), " ms");
        separate_store store;
        event_loop loop;
        platform::store_client client(loop, store.where());
        platform::store_transaction change;
        for (std::size_t i = 0; i < jobs; ++i) {
            change.writes.push_back({"sp/job/p/" + std::to_string(i), std::string(payload, 'x'), 0});
        }
        std::unique_ptr<timer> busy;
        make_busy(loop, busy, iteration_time);
        std::optional<platform::store_status> outcome;
        client.commit(change, [&](const platform::store_answer& answer) { outcome = answer.status; });
        REQUIRE(loop_until(loop, [&] { return outcome.has_value(); }));
        CHECK(platform::name_of(*outcome) == "ok");
    }
}
