#include "fakes/fake_vm.hpp"
#include "main/entry.hpp"

#include "fakes/fake_platform.hpp"

#include <algorithm>
#include <atomic>
#include <iostream>
#include <thread>
#include <unistd.h>

using namespace siskinpaddle;

namespace {

constexpr int vms = 3;
constexpr int slots_per_vm = 8;
constexpr milliseconds service_time = 20ms;
/// Requests per second that all targets together can run, by their slots and service time: 1200.
constexpr double capacity_per_second = vms * slots_per_vm * 1000.0 / 20;
constexpr milliseconds load_duration = 6s;
constexpr milliseconds stop_target_after = 2s;
constexpr milliseconds restart_target_after = 4s;
constexpr milliseconds caller_deadline = 1s;

struct load_result {
    double goodput = 0;
    double p50_ms = 0;
    double p99_ms = 0;
    double sends_per_request = 0;
    std::int64_t refused = 0;
    std::int64_t unknown = 0;
    std::int64_t late = 0;
};

/// Runs an entry, its targets and its platform on one event loop in the thread that calls run(). One target
/// is stopped and restarted during the load.
class system_under_load {
  public:
    explicit system_under_load(bool baseline, std::uint16_t base_port) : m_base_port(base_port) {
        m_settings.id = "e1";
        m_settings.availability_zone = "a";
        m_settings.callers = {"127.0.0.1", base_port};
        m_settings.operators = {"127.0.0.1", static_cast<std::uint16_t>(base_port + 1)};
        m_settings.peers = {"127.0.0.1", static_cast<std::uint16_t>(base_port + 2)};
        m_settings.peer_key = std::string(40, 'k');
        m_settings.routing = baseline ? routing_policy::round_robin : routing_policy::two_choices;
        m_settings.admission_enabled = !baseline;
        m_settings.retry_percent = baseline ? 100 : 10;
        m_settings.max_requests = 1024;
    }

    void run(std::atomic<bool>& is_ready, const std::atomic<bool>& stop_requested) {
        event_loop loop;
        fakes::fake_platform platform(loop, 300ms);
        if (!platform.listen({"127.0.0.1", static_cast<std::uint16_t>(m_base_port + 3)})) {
            return;
        }
        platform.put("config",
                     R"({"number":1,"history":[],"document":{"members":{"m":{"credential_sha256":")" +
                         std::string(64, '0') +
                         R"(","admin":true}},"pools":{"p":{"member":"m","promised":1,"size":3,
            "max_queue":256}},"services":{"s":{"pool":"p"}},"routes":{"r":{"prefix":"/","service":"s","repeatable":"yes"}}}})");
        m_settings.platform = {"127.0.0.1", platform.port()};
        std::vector<std::unique_ptr<fakes::fake_vm>> targets;
        targets.reserve(vms);
        for (int i = 0; i < vms; ++i) {
            targets.push_back(make_target(loop, i));
        }
        entry process(loop, m_settings);
        if (!process.listen().empty()) {
            return;
        }
        process.start();
        timestamp ready_since{0};
        bool is_target_stopped = false;
        bool is_target_restarted = false;
        const std::unique_ptr<timer> poll_timer = loop.make_timer([&] {
            const std::string bytes = platform.value("fleet");
            const fleet_record fleet = boost::leaf::try_handle_all([&] { return decode_fleet(bytes); },
                                                                   [] { return fleet_record{}; });
            const auto serving = std::count_if(fleet.vms.begin(), fleet.vms.end(), [](const vm_record& vm) {
                return vm.state == vm_state::serving;
            });
            if (!is_ready && serving == vms) {
                is_ready = true;
                ready_since = event_loop::now();
            }
            if (is_ready && !is_target_stopped && event_loop::now() - ready_since > stop_target_after) {
                is_target_stopped = true;
                targets[0].reset();
            }
            if (is_target_stopped && !is_target_restarted &&
                event_loop::now() - ready_since > restart_target_after) {
                is_target_restarted = true;
                targets[0] = make_target(loop, 0);
            }
            if (stop_requested) {
                loop.stop();
            }
            poll_timer->start(20ms);
        });
        poll_timer->start(20ms);
        loop.run();
    }

  private:
    std::unique_ptr<fakes::fake_vm> make_target(event_loop& loop, int index) const {
        fakes::fake_vm_settings settings;
        settings.id = "w" + std::to_string(index);
        settings.rack = settings.id;
        settings.target = {"127.0.0.1", static_cast<std::uint16_t>(m_base_port + 10 + 2 * index)};
        settings.agent_port = static_cast<std::uint16_t>(m_base_port + 11 + 2 * index);
        settings.platform = m_settings.platform;
        settings.slots = slots_per_vm;
        settings.service_time = service_time;
        settings.reboot_time = 100ms;
        auto target = std::make_unique<fakes::fake_vm>(loop, settings);
        (void)target->start();
        return target;
    }

    std::uint16_t m_base_port;
    entry_settings m_settings;
};

/// Generates open-loop load: each request is sent at its scheduled time, even when earlier requests are still
/// pending, and its latency counts from that time.
load_result send_load(std::uint16_t port, std::uint16_t operators, double per_second) {
    event_loop loop;
    http_client_limits limits;
    limits.max_idle_per_endpoint = 256;
    http_client client(loop, limits);
    const auto total =
        static_cast<std::int64_t>(per_second * static_cast<double>(load_duration.count()) / 1000);
    std::int64_t sent = 0;
    std::int64_t completed = 0;
    std::int64_t answered_in_time = 0;
    load_result result;
    std::vector<double> latencies;
    const timestamp began = event_loop::now();
    const std::unique_ptr<timer> send_timer = loop.make_timer([&] {
        const double passed = static_cast<double>((event_loop::now() - began).count()) / 1000;
        for (; sent < total && static_cast<double>(sent) / per_second <= passed; ++sent) {
            http_call call;
            call.to = {"127.0.0.1", port};
            call.target = "/x";
            call.headers.add("Deadline-Ms", std::to_string(caller_deadline.count()));
            call.timeout = 3s;
            const timestamp scheduled_at =
                began +
                milliseconds(static_cast<std::int64_t>(static_cast<double>(sent) * 1000 / per_second));
            client.send(std::move(call), [&, scheduled_at](const http_answer& answer) {
                ++completed;
                const milliseconds latency = event_loop::now() - scheduled_at;
                const std::string_view outcome = answer.headers.get("Siskinpaddle-Outcome");
                if (answer.status == exchange_status::answered && outcome == "not-run") {
                    ++result.refused;
                } else if (answer.status != exchange_status::answered || !outcome.empty() ||
                           answer.code != 200) {
                    ++result.unknown;
                } else if (latency > caller_deadline) {
                    ++result.late; // Complete, but the caller's deadline has passed.
                } else {
                    ++answered_in_time;
                    latencies.push_back(static_cast<double>(latency.count()));
                }
            });
        }
        if (completed == total || event_loop::now() - began > load_duration + 5s) {
            loop.stop();
        }
        send_timer->start(1ms);
    });
    send_timer->start(0ms);
    loop.run();
    std::sort(latencies.begin(), latencies.end());
    const auto latency_at = [&](double quantile) {
        return latencies.empty() ? 0
                                 : latencies[static_cast<std::size_t>(
                                       quantile * static_cast<double>(latencies.size() - 1))];
    };
    result.goodput =
        static_cast<double>(answered_in_time) * 1000 / static_cast<double>(load_duration.count());
    result.p50_ms = latency_at(0.5);
    result.p99_ms = latency_at(0.99);
    http_call metrics_call;
    metrics_call.to = {"127.0.0.1", operators};
    metrics_call.target = "/metrics";
    client.send(std::move(metrics_call), [&](const http_answer& answer) {
        const std::size_t sends_position = answer.body.find("siskinpaddle_sends ");
        const double sends = sends_position == std::string::npos
                                 ? 0
                                 : std::strtod(answer.body.c_str() + sends_position + 19, nullptr);
        result.sends_per_request = sends / static_cast<double>(total);
        loop.stop();
    });
    loop.run();
    return result;
}

} // namespace

/// Usage: bench_load. The last line of the output is JSON: the results per load factor and policy.
int main() {
    start_event_log("load", event_level::error);
    boost::json::object out;
    auto base_port = static_cast<std::uint16_t>(10'000 + getpid() % 150 * 100);
    for (const double factor : {0.5, 1.0, 2.0, 5.0}) {
        boost::json::object row;
        for (const bool baseline : {true, false}) {
            base_port = static_cast<std::uint16_t>(base_port + 30);
            std::atomic<bool> is_ready = false;
            std::atomic<bool> stop_requested = false;
            system_under_load system(baseline, base_port);
            std::thread thread([&] { system.run(is_ready, stop_requested); });
            for (int i = 0; i < 1500 && !is_ready; ++i) {
                std::this_thread::sleep_for(10ms);
            }
            const load_result result =
                send_load(base_port, static_cast<std::uint16_t>(base_port + 1), factor * capacity_per_second);
            stop_requested = true;
            thread.join();
            row[baseline ? "baseline" : "ours"] = {
                {"goodput", result.goodput}, {"p50_ms", result.p50_ms},
                {"p99_ms", result.p99_ms},   {"sends_per_request", result.sends_per_request},
                {"refused", result.refused}, {"unknown", result.unknown},
                {"late", result.late}};
            std::cout << factor << "x " << (baseline ? "baseline " : "ours ")
                      << boost::json::serialize(row[baseline ? "baseline" : "ours"]) << std::endl;
        }
        out[std::to_string(factor).substr(0, 3)] = std::move(row);
    }
    std::cout << boost::json::serialize(out) << "\n";
    return 0;
}
