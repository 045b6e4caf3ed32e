#include "net/event_loop.hpp"

#include <csignal>
#include <ctime>
#include <event2/event.h>
#include <stdexcept>

namespace siskinpaddle {

timer::timer(event_base* base, std::function<void()> action)
    : m_action(std::move(action)),
      m_event(event_new(
          base, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<timer*>(self)->m_action(); },
          this)) {}

timer::~timer() {
    event_free(m_event);
}

void timer::start(milliseconds delay) {
    const timeval interval{delay.count() / 1000, (delay.count() % 1000) * 1000};
    event_add(m_event, &interval);
}

void timer::cancel() {
    event_del(m_event);
}

struct event_loop::signal_handler {
    std::function<void()> action;
    event* handle = nullptr;

    signal_handler() = default;
    signal_handler(const signal_handler&) = delete;
    signal_handler& operator=(const signal_handler&) = delete;
    ~signal_handler() { event_free(handle); }
};

event_loop::event_loop() : m_base(event_base_new()), m_posted_event(nullptr) {
    if (m_base == nullptr) {
        throw std::runtime_error("failed to create the event loop");
    }
    m_posted_event = event_new(
        m_base, -1, 0,
        [](evutil_socket_t, short, void* self) { static_cast<event_loop*>(self)->run_posted(); }, this);
    // Makes a write to a connection that the peer has closed fail with an error instead of terminating the
    // process.
    std::signal(SIGPIPE, SIG_IGN);
}

event_loop::~event_loop() {
    m_signals.clear();
    event_free(m_posted_event);
    event_base_free(m_base);
}

void event_loop::run() {
    event_base_loop(m_base, EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::stop() {
    event_base_loopbreak(m_base);
}

void event_loop::post(std::function<void()> action) {
    m_posted.push_back(std::move(action));
    event_active(m_posted_event, EV_TIMEOUT, 0);
}

void event_loop::run_posted() {
    std::deque<std::function<void()>> batch;
    batch.swap(m_posted);
    for (const auto& action : batch) {
        action();
    }
}

std::unique_ptr<timer> event_loop::make_timer(std::function<void()> action) {
    return std::make_unique<timer>(m_base, std::move(action));
}

void event_loop::on_signal(int signal_number, std::function<void()> action) {
    auto handler = std::make_unique<signal_handler>();
    handler->action = std::move(action);
    handler->handle = evsignal_new(
        m_base, signal_number,
        [](evutil_socket_t, short, void* self) { static_cast<signal_handler*>(self)->action(); },
        handler.get());
    event_add(handler->handle, nullptr);
    m_signals.push_back(std::move(handler));
}

timestamp event_loop::now() {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return timestamp(time.tv_sec * 1000 + time.tv_nsec / 1'000'000);
}

} // namespace siskinpaddle
