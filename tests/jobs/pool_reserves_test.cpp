#include "jobs/jobs.hpp"

#include <doctest/doctest.h>

using namespace siskinpaddle;
using namespace siskinpaddle::jobs;

namespace {

const std::vector<std::string> pool_names{"a", "b", "c", "d"};
constexpr std::size_t minimum = 2; ///< VMs that a pool keeps whatever its demand.
constexpr int turn_s = 10;

/// Four pools whose demand peaks come one after the other, in steps of one second. Moves take effect with the
/// next step but one.
class turns_replay {
  public:
    turns_replay(std::size_t machines_of_pool, std::size_t spare_machines, std::size_t peak_vms,
                 reserve_settings reserves)
        : m_peak_vms(peak_vms) {
        m_settings.reserves = reserves;
        for (const std::string& pool : pool_names) {
            add_machines(pool, machines_of_pool);
        }
        add_machines("spare", spare_machines);
    }

    void run_for(int seconds) {
        for (int i = 0; i < seconds; ++i) {
            step();
        }
    }

    [[nodiscard]] std::size_t count(const std::string& pool) const {
        return static_cast<std::size_t>(std::ranges::count(m_machines, pool, &balance_machine::pool));
    }
    /// VM-seconds that the pools lacked.
    [[nodiscard]] std::size_t missing() const { return m_missing; }
    [[nodiscard]] std::size_t moves() const { return m_moves; }

  private:
    static constexpr std::int64_t millicores = 32'000;

    void add_machines(const std::string& pool, std::size_t count) {
        for (std::size_t i = 0; i < count; ++i) {
            balance_machine item;
            item.machine = pool + "-" + std::to_string(i);
            item.pool = pool;
            item.vm = "vm-" + item.machine;
            item.is_up = true;
            item.millicores = millicores;
            m_machines.push_back(std::move(item));
        }
    }

    void step() {
        const std::string& at_peak =
            pool_names[static_cast<std::size_t>(m_second / turn_s) % pool_names.size()];
        std::map<std::string, pool_demand> demands;
        for (const std::string& pool : pool_names) {
            const std::size_t need = pool == at_peak ? m_peak_vms : minimum;
            const std::size_t serving = count(pool) - m_arriving[pool];
            m_missing += need > serving ? need - serving : 0;
            m_arriving[pool] = 0;
            demands[pool] = demand_of(pool, need);
        }
        const balance_plan plan = plan_balance(m_machines, demands, "spare", m_settings, m_state, m_now);
        for (const machine_move& move : plan.moves) {
            const auto found = std::ranges::find(m_machines, move.machine, &balance_machine::machine);
            found->pool = move.pool;
            ++m_arriving[move.pool];
            ++m_moves;
        }
        ++m_second;
        m_now += 1s;
    }

    pool_demand demand_of(const std::string& pool, std::size_t need) {
        pool_demand demand;
        demand.need_millicores = demand.retained_millicores =
            static_cast<std::int64_t>(static_cast<double>(need) * millicores / m_settings.headroom);
        std::size_t busy = need;
        for (const balance_machine& machine : m_machines) {
            if (machine.pool == pool) {
                demand.vms.push_back({machine.vm, true, busy == 0, false, false, busy == 0 ? 0 : millicores});
                busy -= busy > 0 ? 1 : 0;
            }
        }
        return demand;
    }

    std::size_t m_peak_vms;
    balance_settings m_settings;
    std::vector<balance_machine> m_machines;
    balance_state m_state;
    std::map<std::string, std::size_t> m_arriving;
    timestamp m_now{10'000};
    int m_second = 0;
    std::size_t m_missing = 0;
    std::size_t m_moves = 0;
};

} // namespace

// Guards against callers of a peak's first seconds who wait for machines that their pool has given away,
// while nobody else wanted them.
TEST_CASE("in a fleet with plenty of machines no pool waits for the VMs of its peak") {
    for (const std::size_t scale : {1, 3, 10}) { // 120 to 1,200 machines.
        CAPTURE(scale);
        const auto run = [&](double max_share) {
            turns_replay replay(20 * scale, 40 * scale, 5 * scale, {.max_share = max_share});
            replay.run_for(4 * turn_s);
            const std::size_t first_round = replay.missing();
            const std::size_t moves = replay.moves();
            replay.run_for(4 * turn_s);
            return std::array{first_round, moves, replay.missing() - first_round, replay.moves() - moves};
        };
        const std::array without = run(0);
        const std::array with = run(0.25);
        CHECK(without[0] > 0);
        CHECK(without[2] > 0);
        CHECK(with[0] == 0);
        CHECK(with[1] < without[1]);
        CHECK(with[2] == 0);
        CHECK(with[3] == 0);
    }
}

// Guards against machines that stand by in one pool while another lacks them.
TEST_CASE("in a fleet that its pools can fill, machines are passed on as without reserves") {
    for (const std::size_t scale : {1, 10}) {
        CAPTURE(scale);
        const auto run = [&](double max_share) {
            turns_replay replay(10 * scale, 8 * scale, 25 * scale, {.max_share = max_share});
            replay.run_for(8 * turn_s);
            return std::array{replay.missing(), replay.moves()};
        };
        CHECK(run(0.25) == run(0));
    }
}

TEST_CASE("a pool's reserve follows its largest peak and fades") {
    pool_reserves reserves;
    const reserve_settings settings{.max_share = 0.25, .half_life = 10s};
    timestamp now{100'000};
    const auto kept_at = [&](std::size_t wanted, milliseconds later) {
        now += later;
        const std::vector<pool_level> pools{{"a", 40, wanted}};
        return reserves.update(pools, 1000, settings, now).at("a");
    };
    CHECK(kept_at(2, 0s) == 40);  // As many as it was found with.
    CHECK(kept_at(60, 1s) == 60); // Its peak.
    CHECK(kept_at(2, 1s) > 50);
    CHECK(kept_at(2, 9s) == 30);
    CHECK(kept_at(2, 100s) == 2);
}

TEST_CASE("the reserves of all pools together stay within their share of what has no use") {
    struct share_case {
        const char* what = "";
        std::size_t machines = 0;
        std::vector<std::size_t> wanted;
        std::vector<std::size_t> kept;
    };
    // Pools that were found with 100 VMs each.
    for (const share_case& item : {share_case{"room for all", 2000, {10, 20}, {100, 100}},
                                   share_case{"some room", 140, {10, 20}, {20, 30}},
                                   share_case{"none if the demand doubles", 60, {10, 20}, {10, 20}},
                                   share_case{"the smaller wish is met first", 500, {10, 90}, {75, 100}}}) {
        INFO(std::string(item.what));
        pool_reserves reserves;
        std::vector<pool_level> pools;
        for (std::size_t i = 0; i < item.wanted.size(); ++i) {
            pools.push_back({pool_names[i], 100, item.wanted[i]});
        }
        const auto kept = reserves.update(pools, item.machines, {.max_share = 0.25}, timestamp(1000));
        for (std::size_t i = 0; i < item.wanted.size(); ++i) {
            CHECK(kept.at(pool_names[i]) == item.kept[i]);
        }
    }
}

// Guards against reserves that shrink to nothing while a fleet starts, when most of its machines are on the
// move.
TEST_CASE("machines that are being moved count for the reserves") {
    std::map<std::string, std::size_t> kept;
    for (const bool moving : {false, true}) {
        std::vector<balance_machine> machines(1000);
        for (std::size_t i = 0; i < machines.size(); ++i) {
            machines[i].machine = "m-" + std::to_string(i);
            machines[i].vm = "vm-" + std::to_string(i);
            machines[i].pool = i < 400 ? "a" : "spare";
            machines[i].is_moving = moving && i >= 400;
            machines[i].is_up = !machines[i].is_moving;
            machines[i].millicores = 32'000;
        }
        balance_settings settings;
        settings.reserves.max_share = 0.25;
        balance_state state;
        const auto plan = plan_balance(machines, {{"a", {}}}, "spare", settings, state, timestamp(1000));
        CHECK((kept.empty() || kept == plan.kept));
        kept = plan.kept;
    }
    CHECK(kept.at("a") > 200);
}

// Guards against a pool that gives up its reserve for good in the first round, when its owner has heard of
// few VMs.
TEST_CASE("a pool keeps its reserve while its VMs don't serve it yet") {
    std::vector<balance_machine> machines(1000);
    std::map<std::string, pool_demand> demands;
    for (std::size_t i = 0; i < machines.size(); ++i) {
        machines[i].machine = "m-" + std::to_string(i);
        machines[i].vm = "vm-" + std::to_string(i);
        machines[i].pool = i < 400 ? "a" : "spare";
        machines[i].is_up = true;
        machines[i].millicores = 32'000;
        if (i < 400) {
            demands["a"].vms.push_back({machines[i].vm, i < 10, false, false, false, 0});
        }
    }
    balance_settings settings;
    settings.reserves.max_share = 0.25;
    balance_state state;
    const auto plan = plan_balance(machines, demands, "spare", settings, state, timestamp(1000));
    CHECK(plan.kept.at("a") > 200);
}
