#include "jobs/scheduler_fixture.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

constexpr std::size_t many_vms = 20;
constexpr std::uint32_t many_tasks = 640;

/// Twenty VMs of 32 cores with free capacity for all tasks of one job.
scheduler_fixture pool_with_free_capacity() {
    scheduler_fixture b;
    for (std::size_t i = 0; i < many_vms; ++i) {
        b.add_vm("v" + std::to_string(i));
    }
    b.add_job("j", {scheduler_fixture::step(many_tasks)});
    return b;
}

std::size_t bytes_of(const std::vector<start_order>& starts) {
    const start_window_settings settings;
    return starts.size() * (settings.overhead_bytes + std::string("payload").size());
}

} // namespace

TEST_CASE("starts are sent no faster than they are answered") {
    // Guards against starts that time out and are repeated: when a hundred VMs arrive at once and the owner
    // sends 668 starts in one round, its link of 2 Mbit/s takes three seconds for them, and the renewal of
    // its own lease times out as well.
    scheduler_fixture b = pool_with_free_capacity();
    const start_window_settings settings;
    std::size_t started = 0;
    for (int round = 0; round < 100 && started < many_tasks; ++round) {
        const decisions wanted = b.decide();
        CHECK(bytes_of(wanted.starts) <= settings.max_bytes_in_flight + settings.overhead_bytes + 7);
        CHECK(!wanted.starts.empty());
        started += wanted.starts.size();
        for (const start_order& order : wanted.starts) {
            b.accept(order);
        }
    }
    CHECK(started == many_tasks);
}

TEST_CASE("starts resume once half of those in flight are answered") {
    scheduler_fixture b = pool_with_free_capacity();
    const std::vector<start_order> first = b.decide().starts;
    REQUIRE(first.size() < many_tasks);
    CHECK(b.decide().starts.empty());
    for (std::size_t i = 0; i < first.size(); ++i) {
        CHECK(b.pool().can_start_more() == (i > first.size() / 2));
        b.accept(first[i]);
    }
    CHECK(b.pool().can_start_more());
    CHECK(!b.decide().starts.empty());
}

TEST_CASE("unresponsive VMs delay the starts on other VMs only briefly") {
    // Guards against a pool that stalls when a rack loses power at the start of a demand peak: the starts in
    // flight to it are never answered, and the other VMs must not wait for the timeout of those calls.
    scheduler_fixture b = pool_with_free_capacity();
    const std::size_t first = b.decide().starts.size();
    REQUIRE(first < many_tasks);
    b.advance_clock(start_window_settings{}.answer_timeout + 1ms);
    CHECK(b.decide().starts.size() == first);
}

TEST_CASE("stops are not repeated to an unresponsive VM") {
    // Guards against repeated stops that use up the owner's link when an availability zone is cut off: with a
    // dozen cancelled tasks per VM, a stop for each every 0.6 s fills the link. The stops can't arrive, and
    // the VM's lease ends the runs.
    scheduler_fixture b;
    b.add_vm("v1");
    b.add_job("j", {scheduler_fixture::step(4)});
    const std::vector<start_order> starts = b.decide().starts;
    for (const start_order& order : starts) {
        b.accept(order);
    }
    b.pool().cancel("j", b.now());
    CHECK(b.decide().stops.size() == starts.size());
    b.pool().handle_vm_unreachable("v1", b.now());
    b.advance_clock(700ms);
    CHECK(b.decide().stops.empty());
    b.report("v1", {scheduler_fixture::running(starts.front())});
    b.advance_clock(1ms);
    CHECK(!b.decide().stops.empty());
}

TEST_CASE("a pool whose owner sends starts slowly reports that rate and requests no more VMs") {
    // Guards against accepted jobs that wait for six seconds while VMs idle: the pool has enough capacity,
    // but its owner's link carries only a fifth of the starts that would fill it. Judged by capacity, the
    // queue seems short and further VMs seem useful.
    scheduler_fixture b = pool_with_free_capacity();
    const std::int64_t capacity = b.pool().load().usable_millicores;
    b.add_job("k", {scheduler_fixture::step(many_tasks)});
    std::vector<start_order> unanswered;
    for (int round = 0; round < 6; ++round) {
        const std::vector<start_order> starts = b.decide().starts;
        unanswered.insert(unanswered.end(), starts.begin(), starts.end());
        b.advance_clock(100ms);
        // A third of the window is answered in a tenth of a second.
        const std::size_t answered = std::min<std::size_t>(27, unanswered.size());
        for (std::size_t i = 0; i < answered; ++i) {
            b.accept(unanswered[i]);
        }
        unanswered.erase(unanswered.begin(), unanswered.begin() + static_cast<std::ptrdiff_t>(answered));
    }
    const pool_load load = b.pool().load();
    REQUIRE(load.sustained_millicores);
    CHECK(*load.sustained_millicores < capacity);
    CHECK(load.queue_wait().count() == load.waiting_work / *load.sustained_millicores);
    CHECK(b.pool().demand(b.now()).need_millicores <= *load.sustained_millicores);
}

TEST_CASE("a burst that is sent at once yields no sustained rate") {
    scheduler_fixture b = pool_with_free_capacity();
    for (int round = 0; round < 20; ++round) {
        b.start_all();
        b.advance_clock(5ms);
    }
    CHECK(!b.pool().load().sustained_millicores);
}
