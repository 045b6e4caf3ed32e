#pragma once

#include "node/fleet_task.hpp"

#include "node/keys.hpp"

#include "fakes/platform_store.hpp"
#include "net/free_port.hpp"
#include "net/loop_until.hpp"
#include "node/quotes_queue.hpp"
#include "platform/wire.hpp"
#include "telemetry/test_log.hpp"

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace siskinpaddle::tests {

/// The demand of a pool at its peak, far more than its two VMs can hold.
inline node::peer_answer peak_demand() {
    node::peer_answer answer = node::make_answer(node::peer_outcome::ok);
    answer.demand.need_millicores = 64'000;
    answer.demand.retained_millicores = 64'000;
    for (const char* name : {"vm-m1", "vm-m2"}) {
        jobs::vm_load vm;
        vm.vm = name;
        vm.is_usable = true;
        vm.used_millicores = 8000;
        answer.demand.vms.push_back(vm);
    }
    return answer;
}

/// The owner of the fleet with stand-ins for the platform's store, its list of machines and the owners of the
/// pools "p" and "q"; there is a spare pool.
class fleet_fixture {
  public:
    static constexpr std::size_t machines_per_page = 200;

    /// Answers a query for the demand of the given pool; by default no pool needs anything.
    using demand_source = std::function<void(const std::string& pool, const node::peer_server::reply& done)>;

    fleet_fixture()
        : m_store(m_loop),
          m_machine_server(m_loop, {}, [this](const std::shared_ptr<server_request>& request) {
              answer_machine_call(request);
          }) {
        start_test_log();
        REQUIRE(m_store.listen({"127.0.0.1", 0}));
        REQUIRE(m_machine_server.listen({"127.0.0.1", 0}));
        m_store.put(std::string(platform::configuration_key), configuration());
        m_settings.id = "n1";
        m_settings.availability_zone = "z";
        m_settings.peers = {"127.0.0.1", free_port()};
        m_settings.min_order_interval = 3s;
        m_settings.maintenance_time = 2s;
        m_settings.move_time = 1500ms;
        m_settings.machine_orders_per_s = 10;
        m_client.emplace(m_loop, endpoint{"127.0.0.1", m_store.port()});
        m_machine_client.emplace(m_loop, endpoint{"127.0.0.1", m_machine_server.port()});
        m_configured.emplace(m_loop, *m_client, [] {});
        m_membership.emplace(m_loop, m_settings, *m_client,
                             node::membership_task::handlers{
                                 [this](const node::ownership& held) { start_fleet(held); },
                                 [](const std::string&) {}, [] {}, [](const platform::store_item&) {}});
    }

    void add_machine(const std::string& name, const std::string& pool) {
        m_machines[name] = {{"machine", name},
                            {"pool", pool},
                            {"state", "up"},
                            {"zone", "z"},
                            {"labels", boost::json::array{"kind", "rack"}},
                            {"capacity", boost::json::object{{"cpu", 8000}, {"mem_mb", 8000}, {"gpu", 0}}},
                            {"id", "vm-" + name}};
    }
    void remove_machine(const std::string& name) { m_machines.erase(name); }
    void add_machines(std::size_t count, const std::string& pool) {
        for (std::size_t i = 0; i < count; ++i) {
            add_machine(pool + std::to_string(i), pool);
        }
    }
    void add_wave(const std::vector<std::string>& machines) {
        m_store.put(
            std::string(platform::wave_prefix) + "1",
            boost::json::serialize(boost::json::object{{"wave", 1},
                                                       {"machines", boost::json::value_from(machines)},
                                                       {"max_count", 1},
                                                       {"duration_s", 30}}));
    }
    void set_list_delay(milliseconds delay) { m_list_delay = delay; }
    void set_demand_source(demand_source source) { m_demand_source = std::move(source); }
    /// The platform calls each move invalid.
    void refuse_moves(bool refused) { m_refuses_moves = refused; }

    void start() {
        m_configured->start();
        m_membership->set_duties({node::fleet_duty});
        m_membership->start();
    }
    /// Returns whether `reached` becomes true in time.
    bool run_until(const std::function<bool()>& reached, milliseconds limit) {
        return loop_until(m_loop, reached, limit);
    }
    void run_for(milliseconds time) {
        loop_until(
            m_loop, [] { return false; }, time);
    }
    void answer_later(milliseconds delay, std::function<void()> answer) {
        m_answers.push_back(m_loop.make_timer(std::move(answer)));
        m_answers.back()->start(delay);
    }

    [[nodiscard]] std::size_t pages() const { return m_pages; }
    [[nodiscard]] std::size_t lists() const { return m_lists; }
    /// Machines in the order of the moves that were sent.
    [[nodiscard]] const std::vector<std::string>& moves() const { return m_moves; }

  private:
    static std::string configuration() {
        const jobs::queue_settings queue = quotes_queue();
        jobs::fleet_configuration result;
        result.version = 2;
        jobs::queue_settings other = queue;
        other.name = "fares";
        other.prefix = "/fares/";
        other.pool = "q";
        result.queues = {queue, other};
        result.pools = {{"p", false}, {"q", false}, {"spare", true}};
        result.max_body_bytes = 65'536;
        return platform::encode_configuration(result);
    }

    void start_fleet(const node::ownership& held) {
        const auto ask_pool = [this](const node::peer_request& request,
                                     const node::peer_server::reply& done) {
            if (m_demand_source) {
                m_demand_source(request.pool, done);
            } else {
                done(node::make_answer(node::peer_outcome::ok));
            }
        };
        m_fleet.emplace(node::fleet_task::context{m_loop, m_settings, *m_client, *m_machine_client,
                                                  *m_membership, *m_configured, m_records, ask_pool},
                        held);
        m_fleet->start();
    }

    void answer_machine_call(const std::shared_ptr<server_request>& request) {
        http_headers headers;
        headers.add("Content-Type", "application/json");
        if (request->target() == platform::wire::machine_move_path) {
            const boost::json::value body = boost::json::parse(request->body());
            m_moves.emplace_back(body.at("machine").as_string());
            request->reply(m_refuses_moves ? 400 : 200, headers, "{}");
            return;
        }
        ++m_pages;
        const std::string target(request->target());
        const std::size_t token = target.find('=');
        const std::size_t begin = token == std::string::npos ? 0 : std::stoul(target.substr(token + 1));
        m_lists += begin == 0 ? 1 : 0;
        answer_later(m_list_delay, [this, request, headers, begin] {
            request->reply(200, headers, boost::json::serialize(page(begin)));
        });
    }

    [[nodiscard]] boost::json::object page(std::size_t begin) const {
        boost::json::array part;
        auto next = m_machines.begin();
        std::advance(next, std::min(begin, m_machines.size()));
        for (; next != m_machines.end() && part.size() < machines_per_page; ++next) {
            part.push_back(next->second);
        }
        boost::json::object result{{"machines", part}};
        if (next != m_machines.end()) {
            result["next_token"] = std::to_string(begin + part.size());
        }
        return result;
    }

    event_loop m_loop;
    fakes::platform_store m_store;
    http_server m_machine_server;
    node::node_settings m_settings;
    std::optional<platform::store_client> m_client;
    std::optional<platform::machine_client> m_machine_client;
    std::optional<node::configuration_task> m_configured;
    node::pool_records m_records{[](const std::string&) {}};
    std::optional<node::membership_task> m_membership;
    std::optional<node::fleet_task> m_fleet;

    std::map<std::string, boost::json::object> m_machines;
    milliseconds m_list_delay{0};
    demand_source m_demand_source;
    bool m_refuses_moves = false;
    std::vector<std::unique_ptr<timer>> m_answers;
    std::size_t m_pages = 0;
    std::size_t m_lists = 0;
    std::vector<std::string> m_moves;
};

} // namespace siskinpaddle::tests
