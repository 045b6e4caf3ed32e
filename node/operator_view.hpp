#pragma once

#include "node/configuration_task.hpp"
#include "node/membership_task.hpp"
#include "node/pool_task.hpp"

#include <boost/json.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace siskinpaddle::node {

/// Answers operators' questions about the pools that this node owns: who waits, what a job is doing, what
/// accounts use. Read-only; never shows payloads or keys. Not thread-safe.
class operator_view {
  public:
    using pool_tasks = std::map<std::string, std::unique_ptr<pool_task>>;

    /// The arguments outlive the object.
    operator_view(const membership_task& membership, const configuration_task& configuration,
                  const pool_records& records, const pool_tasks& pools)
        : m_membership(membership), m_configuration(configuration), m_records(records), m_pools(pools) {}

    /// The answer to a GET request, or nothing if the target is none of those in docs/OPERATIONS.md.
    [[nodiscard]] std::optional<boost::json::object> answer(std::string_view target) const;

    /// Most rows in one answer.
    static constexpr std::size_t max_rows = 200;

  private:
    [[nodiscard]] boost::json::object describe_pools() const;
    [[nodiscard]] boost::json::object describe_waiting(const std::string& pool) const;
    [[nodiscard]] boost::json::object describe_job(const std::string& id) const;
    [[nodiscard]] boost::json::object describe_accounts() const;
    [[nodiscard]] const pool_task* find_owned(const std::string& pool) const;
    [[nodiscard]] boost::json::object refer_to_owner(const std::string& pool) const;

    const membership_task& m_membership;
    const configuration_task& m_configuration;
    const pool_records& m_records;
    const pool_tasks& m_pools;
};

} // namespace siskinpaddle::node
