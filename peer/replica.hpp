#pragma once

#include "peer/messages.hpp"
#include "policy/policy.hpp"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace siskinpaddle {

/// Result of applying a received value to a replica.
enum class apply_result : std::uint8_t {
    applied,
    same,
    older, ///< Refused: revisions never decrease.
    damaged,
    wrong_base ///< The delta starts at another revision; request the complete value.
};

template <>
inline constexpr std::array enum_names<apply_result>{
    std::pair{apply_result::applied, std::string_view("taken")},
    std::pair{apply_result::same, std::string_view("same")},
    std::pair{apply_result::older, std::string_view("older")},
    std::pair{apply_result::damaged, std::string_view("damaged")},
    std::pair{apply_result::wrong_base, std::string_view("wrong-base")}};

/// An entry's copy of the values in the store: the configuration, the fleet record and the job tables. Each
/// value only changes to higher revisions, whether it comes from the store, a peer, or a store that was
/// restored from an old backup. Pure; not thread-safe.
class replica {
  public:
    /// Applies a value in its stored encoding, read at `store_version`.
    [[nodiscard]] apply_result apply_stored(const std::string& name, const std::string& bytes,
                                            std::uint64_t store_version);

    /// Applies a value that a peer sent.
    [[nodiscard]] apply_result apply_transfer(const value_transfer& transfer);

    /// Returns the values that are newer than the requester's. The fleet is sent as a delta when the changes
    /// since the requester's revision are still known.
    [[nodiscard]] value_reply build_reply(const value_request& request) const;

    /// Whether any of `revisions` is newer than the one in force here.
    [[nodiscard]] bool is_behind(const std::map<std::string, std::uint64_t>& revisions) const;

    [[nodiscard]] const std::map<std::string, std::uint64_t>& revisions() const noexcept {
        return m_revisions;
    }
    [[nodiscard]] std::uint64_t revision(std::string_view name) const;

    /// Latest known store version of the value, for a compare-and-swap; 0 when none is known.
    [[nodiscard]] std::uint64_t store_version(std::string_view name) const;

    [[nodiscard]] const configuration& config() const noexcept { return m_config; }
    [[nodiscard]] const stored_configuration& stored_config() const noexcept { return m_stored_config; }
    [[nodiscard]] const fleet_record& fleet() const noexcept { return m_fleet; }
    /// Returns the job table of a pool; empty when none is known.
    [[nodiscard]] const job_table& jobs(const std::string& pool) const;
    /// Returns an earlier configuration document, or null when it is no longer kept.
    [[nodiscard]] const boost::json::value* find_document(std::uint64_t number) const;

  private:
    [[nodiscard]] apply_result apply_config(const std::string& bytes);
    [[nodiscard]] apply_result apply_fleet(fleet_record next);
    [[nodiscard]] apply_result apply_jobs(const std::string& name, const std::string& bytes);
    [[nodiscard]] apply_result apply_bytes(const std::string& name, const std::string& bytes);
    [[nodiscard]] value_transfer make_fleet_transfer(std::uint64_t known_revision) const;
    void record_store_version(const std::string& name, std::uint64_t store_version);

    std::map<std::string, std::uint64_t> m_revisions;
    std::map<std::string, std::uint64_t, std::less<>> m_store_versions;
    configuration m_config;
    stored_configuration m_stored_config;
    fleet_record m_fleet;
    std::map<std::string, job_table> m_jobs;
    std::deque<fleet_delta> m_deltas;
    std::map<std::uint64_t, boost::json::value> m_documents;
};

} // namespace siskinpaddle
