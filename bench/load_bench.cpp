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
constexpr int slots = 8;
constexpr milliseconds service_time = 20ms;
/// What the targets can run, by their slots and service time: 1200 requests a second.
constexpr double capacity_per_second = vms * slots * 1000.0 / 20;
constexpr milliseconds run_time = 6s;
constexpr milliseconds death_at = 2s;
constexpr milliseconds life_at = 4s;
constexpr milliseconds caller_patience = 1s;

struct load_result {
    double goodput = 0;
    double p50_ms = 0;
    double p99_ms = 0;
    double sends_per_request = 0;
    std::int64_t refused = 0;
    std::int64_t unknown = 0;
    std::int64_t late = 0;
};

/// An entry with its targets and platform on a loop and thread of their own; a target dies and comes back
/// meanwhile.
class system_under_load {
  public:
    explicit system_under_load(bool baseline, std::uint16_t base) : m_base(base) {
        m_settings.id = "e1";
        m_settings.availability_zone = "a";
        m_settings.callers = {"127.0.0.1", base};
        m_settings.operators = {"127.0.0.1", static_cast<std::uint16_t>(base + 1)};
        m_settings.peers = {"127.0.0.1", static_cast<std::uint16_t>(base + 2)};
        m_settings.peer_key = std::string(40, 'k');
        m_settings.routing = baseline ? routing_policy::round_robin : routing_policy::two_choices;
        m_settings.admission_enabled = !baseline;
        m_settings.retry_percent = baseline ? 100 : 10;
        m_settings.max_requests = 1024;
    }

    void run(std::atomic<bool>& ready, const std::atomic<bool>& stop) {
        event_loop loop;
        fakes::fake_platform platform(loop, 300ms);
        if (!platform.listen({"127.0.0.1", static_cast<std::uint16_t>(m_base + 3)})) {
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
        timestamp began{0};
        bool dead = false;
        bool back = false;
        const std::unique_ptr<timer> turn = loop.make_timer([&] {
            const std::string bytes = platform.value("fleet");
            const fleet_record fleet = boost::leaf::try_handle_all([&] { return decode_fleet(bytes); },
                                                                   [] { return fleet_record{}; });
            const auto serving = std::count_if(fleet.vms.begin(), fleet.vms.end(), [](const vm_record& vm) {
                return vm.state == vm_state::serving;
            });
            if (!ready && serving == vms) {
                ready = true;
                began = event_loop::now();
            }
            if (ready && !dead && event_loop::now() - began > death_at) {
                dead = true;
                targets[0].reset();
            }
            if (dead && !back && event_loop::now() - began > life_at) {
                back = true;
                targets[0] = make_target(loop, 0);
            }
            if (stop) {
                loop.stop();
            }
            turn->start(20ms);
        });
        turn->start(20ms);
        loop.run();
    }

  private:
    std::unique_ptr<fakes::fake_vm> make_target(event_loop& loop, int number) const {
        fakes::fake_vm_settings settings;
        settings.id = "w" + std::to_string(number);
        settings.rack = settings.id;
        settings.target = {"127.0.0.1", static_cast<std::uint16_t>(m_base + 10 + 2 * number)};
        settings.agent_port = static_cast<std::uint16_t>(m_base + 11 + 2 * number);
        settings.platform = m_settings.platform;
        settings.slots = slots;
        settings.service_time = service_time;
        settings.reboot_time = 100ms;
        auto target = std::make_unique<fakes::fake_vm>(loop, settings);
        (void)target->start();
        return target;
    }

    std::uint16_t m_base;
    entry_settings m_settings;
};

/// Open loop: requests leave at fixed times whatever became of the earlier ones, and their latency counts
/// from then.
load_result drive(std::uint16_t port, std::uint16_t operators, double per_second) {
    event_loop loop;
    http_client_limits limits;
    limits.max_idle_per_endpoint = 256;
    http_client client(loop, limits);
    const auto total = static_cast<std::int64_t>(per_second * static_cast<double>(run_time.count()) / 1000);
    std::int64_t sent = 0;
    std::int64_t ended = 0;
    std::int64_t good = 0;
    load_result result;
    std::vector<double> latencies;
    const timestamp began = event_loop::now();
    const std::unique_ptr<timer> turn = loop.make_timer([&] {
        const double passed = static_cast<double>((event_loop::now() - began).count()) / 1000;
        for (; sent < total && static_cast<double>(sent) / per_second <= passed; ++sent) {
            http_call call;
            call.to = {"127.0.0.1", port};
            call.target = "/x";
            call.headers.add("Deadline-Ms", std::to_string(caller_patience.count()));
            call.timeout = 3s;
            const timestamp due =
                began +
                milliseconds(static_cast<std::int64_t>(static_cast<double>(sent) * 1000 / per_second));
            client.send(std::move(call), [&, due](const http_answer& answer) {
                ++ended;
                const milliseconds took = event_loop::now() - due;
                const std::string_view told = answer.headers.get("Siskinpaddle-Outcome");
                if (answer.status == exchange_status::answered && told == "not-run") {
                    ++result.refused;
                } else if (answer.status != exchange_status::answered || !told.empty() ||
                           answer.code != 200) {
                    ++result.unknown;
                } else if (took > caller_patience) {
                    ++result.late; // Whole, but nobody waits for it any more.
                } else {
                    ++good;
                    latencies.push_back(static_cast<double>(took.count()));
                }
            });
        }
        if (ended == total || event_loop::now() - began > run_time + 5s) {
            loop.stop();
        }
        turn->start(1ms);
    });
    turn->start(0ms);
    loop.run();
    std::sort(latencies.begin(), latencies.end());
    const auto at = [&](double q) {
        return latencies.empty()
                   ? 0
                   : latencies[static_cast<std::size_t>(q * static_cast<double>(latencies.size() - 1))];
    };
    result.goodput = static_cast<double>(good) * 1000 / static_cast<double>(run_time.count());
    result.p50_ms = at(0.5);
    result.p99_ms = at(0.99);
    http_call metrics_call;
    metrics_call.to = {"127.0.0.1", operators};
    metrics_call.target = "/metrics";
    client.send(std::move(metrics_call), [&](const http_answer& answer) {
        const std::size_t at_sends = answer.body.find("siskinpaddle_sends ");
        const double sends =
            at_sends == std::string::npos ? 0 : std::strtod(answer.body.c_str() + at_sends + 19, nullptr);
        result.sends_per_request = sends / static_cast<double>(total);
        loop.stop();
    });
    loop.run();
    return result;
}

} // namespace

/// Usage: bench_load. Ends with one line of JSON: per load and policy setting.
int main() {
    start_event_log("load", event_level::error);
    boost::json::object out;
    auto base = static_cast<std::uint16_t>(10'000 + getpid() % 150 * 100);
    for (const double factor : {0.5, 1.0, 2.0, 5.0}) {
        boost::json::object row;
        for (const bool baseline : {true, false}) {
            base = static_cast<std::uint16_t>(base + 30);
            std::atomic<bool> ready = false;
            std::atomic<bool> stop = false;
            system_under_load system(baseline, base);
            std::thread thread([&] { system.run(ready, stop); });
            for (int i = 0; i < 1500 && !ready; ++i) {
                std::this_thread::sleep_for(10ms);
            }
            const load_result r =
                drive(base, static_cast<std::uint16_t>(base + 1), factor * capacity_per_second);
            stop = true;
            thread.join();
            row[baseline ? "baseline" : "ours"] = {
                {"goodput", r.goodput}, {"p50_ms", r.p50_ms},
                {"p99_ms", r.p99_ms},   {"sends_per_request", r.sends_per_request},
                {"refused", r.refused}, {"unknown", r.unknown},
                {"late", r.late}};
            std::cout << factor << "x " << (baseline ? "baseline " : "ours ")
                      << boost::json::serialize(row[baseline ? "baseline" : "ours"]) << std::endl;
        }
        out[std::to_string(factor).substr(0, 3)] = std::move(row);
    }
    std::cout << boost::json::serialize(out) << "\n";
    return 0;
}
