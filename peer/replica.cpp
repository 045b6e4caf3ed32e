#include "peer/replica.hpp"

#include <algorithm>

namespace siskinpaddle {

namespace {

/// Fleet deltas that are kept. A peer that missed more of them gets the complete record.
constexpr std::size_t max_deltas = 64;
constexpr std::size_t max_documents = 8;

/// Merges the consecutive deltas from revision `from` on into one.
fleet_delta merge_deltas(const std::deque<fleet_delta>& deltas, std::uint64_t from) {
    fleet_delta result = deltas.back();
    result.base = from;
    result.changed.clear();
    result.removed.clear();
    std::map<std::string, vm_record> changed;
    std::set<std::string> removed;
    for (const fleet_delta& delta : deltas) {
        if (delta.base < from) {
            continue;
        }
        for (const vm_record& vm : delta.changed) {
            changed[vm.id] = vm;
            removed.erase(vm.id);
        }
        for (const std::string& id : delta.removed) {
            changed.erase(id);
            removed.insert(id);
        }
    }
    for (auto& [id, vm] : changed) {
        result.changed.push_back(std::move(vm));
    }
    result.removed.assign(removed.begin(), removed.end());
    return result;
}

} // namespace

std::uint64_t replica::revision(std::string_view name) const {
    const auto found = m_revisions.find(std::string(name));
    return found == m_revisions.end() ? 0 : found->second;
}

std::uint64_t replica::store_version(std::string_view name) const {
    const auto found = m_store_versions.find(name);
    return found == m_store_versions.end() ? 0 : found->second;
}

const job_table& replica::jobs(const std::string& pool) const {
    static const job_table none;
    const auto found = m_jobs.find(pool);
    return found == m_jobs.end() ? none : found->second;
}

const boost::json::value* replica::find_document(std::uint64_t number) const {
    const auto found = m_documents.find(number);
    return found == m_documents.end() ? nullptr : &found->second;
}

bool replica::is_behind(const std::map<std::string, std::uint64_t>& revisions) const {
    return std::any_of(revisions.begin(), revisions.end(),
                       [this](const auto& item) { return item.second > revision(item.first); });
}

void replica::record_store_version(const std::string& name, std::uint64_t store_version) {
    std::uint64_t& known = m_store_versions[name];
    known = std::max(known, store_version);
}

apply_result replica::apply_stored(const std::string& name, const std::string& bytes,
                                   std::uint64_t store_version) {
    const apply_result result = apply_bytes(name, bytes);
    if (result == apply_result::applied || result == apply_result::same) {
        record_store_version(name, store_version);
    }
    return result;
}

apply_result replica::apply_bytes(const std::string& name, const std::string& bytes) {
    if (name == config_value) {
        return apply_config(bytes);
    }
    if (name == fleet_value) {
        fleet_record next;
        const bool read = boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<bool> {
                BOOST_LEAF_ASSIGN(next, decode_fleet(bytes));
                return true;
            },
            [] { return false; });
        return read ? apply_fleet(std::move(next)) : apply_result::damaged;
    }
    return apply_jobs(name, bytes);
}

apply_result replica::apply_config(const std::string& bytes) {
    findings problems;
    stored_configuration stored = decode_stored_configuration(bytes, problems);
    configuration config = parse_configuration(stored.number, stored.document, problems);
    if (!problems.empty()) {
        return apply_result::damaged;
    }
    const std::uint64_t known = revision(config_value);
    if (stored.number <= known) {
        return stored.number == known ? apply_result::same : apply_result::older;
    }
    m_revisions[std::string(config_value)] = stored.number;
    m_documents[stored.number] = stored.document;
    if (m_documents.size() > max_documents) {
        m_documents.erase(m_documents.begin());
    }
    m_stored_config = std::move(stored);
    m_config = std::move(config);
    return apply_result::applied;
}

apply_result replica::apply_fleet(fleet_record next) {
    const std::uint64_t known = revision(fleet_value);
    if (next.revision <= known) {
        return next.revision == known ? apply_result::same : apply_result::older;
    }
    m_deltas.push_back(make_delta(m_fleet, next));
    if (m_deltas.size() > max_deltas) {
        m_deltas.pop_front();
    }
    m_revisions[std::string(fleet_value)] = next.revision;
    m_fleet = std::move(next);
    return apply_result::applied;
}

apply_result replica::apply_jobs(const std::string& name, const std::string& bytes) {
    if (!name.starts_with(jobs_prefix)) {
        return apply_result::damaged;
    }
    job_table table;
    const bool read = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_ASSIGN(table, decode_jobs(bytes));
            return true;
        },
        [] { return false; });
    if (!read) {
        return apply_result::damaged;
    }
    const std::uint64_t known = revision(name);
    if (table.revision <= known) {
        return table.revision == known ? apply_result::same : apply_result::older;
    }
    m_revisions[name] = table.revision;
    m_jobs[name.substr(jobs_prefix.size())] = std::move(table);
    return apply_result::applied;
}

apply_result replica::apply_transfer(const value_transfer& transfer) {
    if (!transfer.is_delta) {
        return apply_stored(transfer.name, transfer.bytes, transfer.store_version);
    }
    fleet_delta delta;
    const bool read = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_ASSIGN(delta, decode_archive<fleet_delta>(transfer.bytes));
            return true;
        },
        [] { return false; });
    if (!read || transfer.name != fleet_value) {
        return apply_result::damaged;
    }
    if (delta.revision <= m_fleet.revision) {
        return delta.revision == m_fleet.revision ? apply_result::same : apply_result::older;
    }
    fleet_record next = m_fleet;
    if (!apply_delta(next, delta)) {
        return apply_result::wrong_base;
    }
    const apply_result result = apply_fleet(std::move(next));
    record_store_version(transfer.name, transfer.store_version);
    return result;
}

value_transfer replica::make_fleet_transfer(std::uint64_t known_revision) const {
    value_transfer transfer{
        std::string(fleet_value), m_fleet.revision, store_version(fleet_value), false, {}};
    const bool covered = known_revision > 0 && std::any_of(m_deltas.begin(), m_deltas.end(),
                                                           [known_revision](const fleet_delta& delta) {
                                                               return delta.base == known_revision;
                                                           });
    if (covered) {
        transfer.is_delta = true;
        transfer.bytes = encode_archive(merge_deltas(m_deltas, known_revision));
    } else {
        transfer.bytes = encode_fleet(m_fleet);
    }
    return transfer;
}

value_reply replica::build_reply(const value_request& request) const {
    value_reply reply;
    for (const auto& [name, known] : m_revisions) {
        const auto item = request.known_revisions.find(name);
        const std::uint64_t known_revision = item == request.known_revisions.end() ? 0 : item->second;
        if (known <= known_revision) {
            continue;
        }
        if (name == fleet_value) {
            reply.values.push_back(make_fleet_transfer(known_revision));
        } else if (name == config_value) {
            reply.values.push_back(
                {name, known, store_version(name), false, encode_stored_configuration(m_stored_config)});
        } else {
            reply.values.push_back({name, known, store_version(name), false,
                                    encode_jobs(jobs(name.substr(jobs_prefix.size())))});
        }
    }
    return reply;
}

} // namespace siskinpaddle
