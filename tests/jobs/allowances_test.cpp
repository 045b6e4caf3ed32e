#include "jobs/jobs.hpp"

#include "core/random.hpp"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <memory>

using namespace siskinpaddle;
using namespace siskinpaddle::jobs;

namespace {

const std::string account = "acme";

resources cores(std::int64_t amount) {
    return {amount * 1000, 0, 0};
}

client_account account_with(std::int64_t limit_cores) {
    client_account item;
    item.name = account;
    item.limit = {limit_cores * 1000, unlimited_amount, unlimited_amount};
    return item;
}

/// One pool's allowances in a test that carries out the writes itself.
struct pool_under_test {
    explicit pool_under_test(const std::string& name) : allowances(name, policy) {
        allowances.configure({account_with(100)}, 2, 4);
        allowances.set_loaded();
    }

    std::vector<allowance_write> plan(const account_demand& demand) {
        return allowances.plan({{account, demand}}, 15, now += 60ms);
    }
    /// Plans and carries out the writes.
    void settle(const account_demand& demand) {
        for (const allowance_write& write : plan(demand)) {
            allowances.write_succeeded(write.account, ++revision);
        }
    }
    [[nodiscard]] std::int64_t ceiling() const {
        return allowances.ceilings().at(account).cpu_millicores / 1000;
    }

    demand_allowance_policy policy;
    pool_allowances allowances;
    timestamp now{1000};
    std::int64_t revision = 0;
};

} // namespace

TEST_CASE("a pool may use nothing of a limited account before its allowance is stored") {
    pool_under_test pool("p");
    CHECK(pool.ceiling() == 0);
    const std::vector<allowance_write> writes = pool.plan({{}, cores(8)});
    REQUIRE(writes.size() == 1);
    CHECK(writes[0].revision == 0);
    CHECK(pool.ceiling() == 0);
    pool.allowances.write_succeeded(account, 7);
    CHECK(pool.ceiling() >= 8);
    CHECK(pool.ceiling() <= 25);
}

TEST_CASE("an allowance takes only what other pools leave of the limit") {
    pool_under_test pool("p");
    account_allowances stored{2, account_with(100).limit, {{"other", cores(90)}}};
    pool.allowances.load(account, stored, 5);
    pool.settle({{}, cores(40)});
    CHECK(pool.ceiling() == 10);
    CHECK(pool.allowances.limited_accounts().contains(account));
    stored.by_pool = {{"other", cores(30)}, {"p", cores(10)}};
    pool.allowances.load(account, stored, 9);
    pool.settle({cores(10), cores(30)});
    CHECK(pool.ceiling() >= 40);
    CHECK(pool.allowances.limited_accounts().empty());
}

TEST_CASE("an allowance that is not needed is given back after a delay") {
    pool_under_test pool("p");
    pool.settle({{}, cores(60)});
    REQUIRE(pool.ceiling() >= 60);
    const timestamp idle_from = pool.now;
    while (pool.ceiling() >= 60 && pool.now < idle_from + 2s) {
        pool.settle({cores(4), {}});
    }
    CHECK(pool.now - idle_from >= 500ms);
    CHECK(pool.now - idle_from <= 700ms);
    CHECK(pool.ceiling() <= 8);
}

// Guards against starts under an allowance that a write without an answer has lowered.
TEST_CASE("a lowered allowance applies at once and until a later write is known to have succeeded") {
    pool_under_test pool("p");
    pool.settle({{}, cores(60)});
    std::vector<allowance_write> writes;
    while (writes.empty()) {
        writes = pool.plan({cores(4), {}});
    }
    const std::int64_t lowered = pool.ceiling();
    CHECK(lowered <= 8);
    pool.allowances.write_unanswered(account);
    CHECK(pool.ceiling() == lowered);
    // The demand is back. The raise is repeated until the store is known to hold it.
    writes = pool.plan({cores(4), cores(50)});
    REQUIRE(writes.size() == 1);
    CHECK(pool.ceiling() == lowered);
    pool.allowances.write_conflicted(account, writes[0].wanted, writes[0].revision);
    CHECK(pool.ceiling() == lowered);
    pool.settle({cores(4), cores(50)});
    CHECK(pool.ceiling() >= 54);
}

// Guards against starts of a pool that has heard of a lowered limit, beside those of a pool that has not.
TEST_CASE("nothing starts under a lowered limit until the allowances fit into it") {
    pool_under_test pool("p");
    account_allowances stored{2, account_with(100).limit, {{"other", cores(50)}, {"p", cores(30)}}};
    pool.allowances.load(account, stored, 5);
    CHECK(pool.ceiling() == 30);
    pool.allowances.configure({account_with(40)}, 3, 4);
    CHECK(pool.ceiling() == 0);
    const std::vector<allowance_write> writes = pool.plan({cores(20), {}});
    REQUIRE(writes.size() == 1);
    CHECK(writes[0].wanted.limit_version == 3);
    CHECK(writes[0].wanted.of_pool("p") == cores(20));
    pool.allowances.write_succeeded(account, 6);
    CHECK(pool.ceiling() == 0);
    stored = {3, account_with(40).limit, {{"other", cores(15)}, {"p", cores(20)}}};
    pool.allowances.load(account, stored, 8);
    CHECK(pool.ceiling() == 20);
}

// Guards against owners that raise their allowances up to the old limit, as long as that is the stored one.
TEST_CASE("nothing starts under a lowered limit until it is stored") {
    pool_under_test pool("p");
    pool.allowances.load(account, {2, account_with(100).limit, {{"p", cores(30)}}}, 5);
    pool.allowances.configure({account_with(40)}, 3, 4);
    CHECK(pool.ceiling() == 0);
    pool.settle({cores(20), {}});
    CHECK(pool.ceiling() >= 20);
    CHECK(pool.ceiling() <= 40);
}

TEST_CASE("a newer limit that another owner has stored is in force") {
    pool_under_test pool("p");
    const account_allowances stored{3, account_with(40).limit, {{"other", cores(39)}}};
    pool.allowances.load(account, stored, 5);
    pool.settle({{}, cores(10)});
    CHECK(pool.ceiling() == 1);
    CHECK(pool.allowances.ceilings().at(account).memory_mb == unlimited_amount);
}

TEST_CASE("an account without a limit has no ceiling") {
    pool_under_test pool("p");
    client_account unlimited;
    unlimited.name = account;
    pool.allowances.configure({unlimited}, 3, 4);
    CHECK(pool.allowances.ceilings().empty());
    CHECK(pool.plan({cores(4), cores(50)}).empty());
}

namespace {

/// Several pools with owners that die, hear of configurations late and write to a store that loses answers
/// and carries writes out late. Each start is checked against the sum of all runs.
class limit_simulation {
  public:
    explicit limit_simulation(std::uint64_t seed) : m_random(seed) {
        for (const char* name : {"p0", "p1", "p2"}) {
            m_pools.push_back({name, {}, {}, 0, {}, 1, {}});
            begin_owner(m_pools.back());
        }
        m_limits.push_back({1, 60, m_now});
    }

    void play(int steps) {
        for (int step = 0; step < steps; ++step) {
            m_now += 20ms;
            if (chance(40)) {
                change_limit();
            }
            for (pool_state& pool : m_pools) {
                play_pool(pool);
            }
            carry_out_late_writes();
        }
    }

    std::size_t starts = 0;
    std::size_t blocked = 0;
    std::int64_t worst_excess = 0; ///< Largest sum of runs beyond the highest limit in force, cores.

  private:
    static constexpr milliseconds configuration_time = 300ms;
    static constexpr milliseconds run_time = 150ms;

    struct limit_version {
        std::int64_t version;
        std::int64_t cores;
        timestamp acknowledged_at;
    };
    struct run_state {
        std::int64_t cores;
        timestamp ends_at;
        std::uint64_t epoch;     ///< The owner that started it.
        bool known_to_successor; ///< The present owner has found it.
    };
    struct pool_state {
        std::string name;
        std::unique_ptr<pool_allowances> allowances;
        account_ledger ledger;
        std::uint64_t epoch;
        std::vector<run_state> runs;
        std::int64_t heard_version = 1;
        timestamp takeover_ends_at;
    };
    struct late_write {
        allowance_write write;
        timestamp due;
    };

    bool chance(std::uint64_t one_in) { return m_random.next_below(one_in) == 0; }

    void change_limit() {
        const std::int64_t cores = 10 + static_cast<std::int64_t>(m_random.next_below(90));
        m_limits.push_back({m_limits.back().version + 1, cores, m_now});
    }

    [[nodiscard]] std::int64_t highest_limit_in_force() const {
        std::int64_t highest = m_limits.back().cores;
        for (std::size_t i = 0; i + 1 < m_limits.size(); ++i) {
            if (m_now <= m_limits[i + 1].acknowledged_at + configuration_time) {
                highest = std::max(highest, m_limits[i].cores);
            }
        }
        return highest;
    }

    [[nodiscard]] std::int64_t running() const {
        std::int64_t sum = 0;
        for (const pool_state& pool : m_pools) {
            for (const run_state& item : pool.runs) {
                sum += item.cores;
            }
        }
        return sum;
    }

    /// A new owner reads the store, and finds the runs of its predecessor one after the other.
    void begin_owner(pool_state& pool) {
        ++pool.epoch;
        pool.ledger = {};
        pool.allowances = std::make_unique<pool_allowances>(pool.name, m_policy);
        for (run_state& item : pool.runs) {
            item.known_to_successor = false;
        }
        if (m_revision > 0) {
            pool.allowances->load(account, m_stored, m_revision);
        }
        pool.allowances->set_loaded();
        pool.ledger.set_inherited(pool.allowances->stored());
        pool.takeover_ends_at = m_now + milliseconds(m_random.next_below(400));
    }

    void play_pool(pool_state& pool) {
        if (chance(150)) {
            begin_owner(pool);
        }
        hear_of_configuration(pool);
        end_and_find_runs(pool);
        pool.ledger.set_ceilings(pool.allowances->ceilings());
        start_runs(pool);
        for (const allowance_write& write : pool.allowances->plan(pool.ledger.demand(), 15, m_now)) {
            carry_out(pool, write);
        }
    }

    /// A configuration is heard of at some time within configuration_time.
    void hear_of_configuration(pool_state& pool) {
        for (const limit_version& item : m_limits) {
            const bool must_be_heard = m_now >= item.acknowledged_at + configuration_time;
            if (must_be_heard || chance(4)) {
                pool.heard_version = std::max(pool.heard_version, item.version);
            }
        }
        const std::int64_t limit = m_limits.at(static_cast<std::size_t>(pool.heard_version - 1)).cores;
        pool.allowances->configure({account_with(limit)}, pool.heard_version, m_pools.size());
    }

    void end_and_find_runs(pool_state& pool) {
        for (run_state& item : pool.runs) {
            const bool adopted = item.epoch != pool.epoch;
            const bool found =
                adopted && !item.known_to_successor && (chance(5) || m_now >= pool.takeover_ends_at);
            if (found) {
                pool.ledger.add_run(account, cores(item.cores), true);
                item.known_to_successor = true;
            }
        }
        std::erase_if(pool.runs, [&](const run_state& item) {
            const bool adopted = item.epoch != pool.epoch;
            if (m_now < item.ends_at) {
                return false;
            }
            if (!adopted || item.known_to_successor) {
                pool.ledger.remove_run(account, cores(item.cores), adopted);
            }
            return true;
        });
        if (m_now >= pool.takeover_ends_at) {
            pool.ledger.clear_inherited();
        }
    }

    void start_runs(pool_state& pool) {
        pool.ledger.clear_blocked();
        const std::uint64_t wanted = m_random.next_below(8);
        for (std::uint64_t i = 0; i < wanted; ++i) {
            const auto size = static_cast<std::int64_t>(1 + m_random.next_below(5));
            if (!pool.ledger.admits(account, cores(size))) {
                pool.ledger.record_blocked(account, cores(size));
                ++blocked;
                continue;
            }
            pool.ledger.add_run(account, cores(size), false);
            pool.runs.push_back({size, m_now + run_time * (1 + m_random.next_below(3)), pool.epoch, true});
            ++starts;
            worst_excess = std::max(worst_excess, running() - highest_limit_in_force());
        }
    }

    bool execute(const allowance_write& write) {
        if (write.revision != m_revision) {
            return false;
        }
        m_stored = write.wanted;
        ++m_revision;
        return true;
    }

    void carry_out(pool_state& pool, const allowance_write& write) {
        switch (m_random.next_below(8)) {
        case 0:
            pool.allowances->write_refused(write.account);
            return;
        case 1:
            pool.allowances->write_unanswered(write.account);
            return;
        case 2:
            static_cast<void>(execute(write));
            pool.allowances->write_unanswered(write.account);
            return;
        case 3:
            m_late_writes.push_back({write, m_now + milliseconds(40 + m_random.next_below(300))});
            pool.allowances->write_unanswered(write.account);
            return;
        default:
            break;
        }
        if (execute(write)) {
            pool.allowances->write_succeeded(write.account, m_revision);
        } else {
            pool.allowances->write_conflicted(write.account, m_stored, m_revision);
        }
    }

    void carry_out_late_writes() {
        std::erase_if(m_late_writes, [this](const late_write& item) {
            if (m_now < item.due) {
                return false;
            }
            static_cast<void>(execute(item.write));
            return true;
        });
    }

    random_source m_random;
    demand_allowance_policy m_policy;
    timestamp m_now{10'000};
    std::vector<limit_version> m_limits;
    std::vector<pool_state> m_pools;
    account_allowances m_stored;
    std::int64_t m_revision = 0;
    std::deque<late_write> m_late_writes;
};

} // namespace

// Guards against a sum over all pools that exceeds the limit of an account.
TEST_CASE("the runs of an account stay within its limit through deaths of owners and lost answers") {
    std::size_t starts = 0;
    std::size_t blocked = 0;
    for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
        limit_simulation simulation(seed);
        simulation.play(150);
        INFO("seed ", seed);
        REQUIRE(simulation.worst_excess <= 0);
        starts += simulation.starts;
        blocked += simulation.blocked;
    }
    CHECK(starts > 100'000);
    CHECK(blocked > 100'000);
}
