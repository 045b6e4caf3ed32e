#include "peer/replica.hpp"

#include <algorithm>

namespace siskinpaddle {

namespace {

/// Fleet changes that are remembered. A peer that missed more gets the whole record.
constexpr std::size_t remembered_deltas = 64;
constexpr std::size_t remembered_documents = 8;

/// The changes of consecutive deltas in one.
fleet_delta joined(const std::deque<fleet_delta>& deltas, std::uint64_t from) {
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

const boost::json::value* replica::document(std::uint64_t number) const {
    const auto found = m_documents.find(number);
    return found == m_documents.end() ? nullptr : &found->second;
}

bool replica::lacks(const std::map<std::string, std::uint64_t>& revisions) const {
    return std::any_of(revisions.begin(), revisions.end(),
                       [this](const auto& item) { return item.second > revision(item.first); });
}

void replica::note_version(const std::string& name, std::uint64_t store_version) {
    std::uint64_t& known = m_store_versions[name];
    known = std::max(known, store_version);
}

offer_result replica::offer_stored(const std::string& name, const std::string& bytes,
                                   std::uint64_t store_version) {
    const offer_result result = offer_bytes(name, bytes);
    if (result == offer_result::taken || result == offer_result::same) {
        note_version(name, store_version);
    }
    return result;
}

offer_result replica::offer_bytes(const std::string& name, const std::string& bytes) {
    if (name == config_value) {
        return take_config(bytes);
    }
    if (name == fleet_value) {
        fleet_record next;
        const bool read = boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<bool> {
                BOOST_LEAF_ASSIGN(next, decode_fleet(bytes));
                return true;
            },
            [] { return false; });
        return read ? take_fleet(std::move(next)) : offer_result::damaged;
    }
    return take_jobs(name, bytes);
}

offer_result replica::take_config(const std::string& bytes) {
    findings problems;
    stored_configuration stored = decode_stored_configuration(bytes, problems);
    configuration config = parse_configuration(stored.number, stored.document, problems);
    if (!problems.empty()) {
        return offer_result::damaged;
    }
    const std::uint64_t known = revision(config_value);
    if (stored.number <= known) {
        return stored.number == known ? offer_result::same : offer_result::older;
    }
    m_revisions[std::string(config_value)] = stored.number;
    m_documents[stored.number] = stored.document;
    if (m_documents.size() > remembered_documents) {
        m_documents.erase(m_documents.begin());
    }
    m_stored_config = std::move(stored);
    m_config = std::move(config);
    return offer_result::taken;
}

offer_result replica::take_fleet(fleet_record next) {
    const std::uint64_t known = revision(fleet_value);
    if (next.revision <= known) {
        return next.revision == known ? offer_result::same : offer_result::older;
    }
    m_deltas.push_back(make_delta(m_fleet, next));
    if (m_deltas.size() > remembered_deltas) {
        m_deltas.pop_front();
    }
    m_revisions[std::string(fleet_value)] = next.revision;
    m_fleet = std::move(next);
    return offer_result::taken;
}

offer_result replica::take_jobs(const std::string& name, const std::string& bytes) {
    if (!name.starts_with(jobs_prefix)) {
        return offer_result::damaged;
    }
    job_table table;
    const bool read = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_ASSIGN(table, decode_jobs(bytes));
            return true;
        },
        [] { return false; });
    if (!read) {
        return offer_result::damaged;
    }
    const std::uint64_t known = revision(name);
    if (table.revision <= known) {
        return table.revision == known ? offer_result::same : offer_result::older;
    }
    m_revisions[name] = table.revision;
    m_jobs[name.substr(jobs_prefix.size())] = std::move(table);
    return offer_result::taken;
}

offer_result replica::offer_transfer(const value_transfer& transfer) {
    if (!transfer.is_delta) {
        return offer_stored(transfer.name, transfer.bytes, transfer.store_version);
    }
    fleet_delta delta;
    const bool read = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_ASSIGN(delta, decode_archive<fleet_delta>(transfer.bytes));
            return true;
        },
        [] { return false; });
    if (!read || transfer.name != fleet_value) {
        return offer_result::damaged;
    }
    if (delta.revision <= m_fleet.revision) {
        return delta.revision == m_fleet.revision ? offer_result::same : offer_result::older;
    }
    fleet_record next = m_fleet;
    if (!apply_delta(next, delta)) {
        return offer_result::wrong_base;
    }
    const offer_result result = take_fleet(std::move(next));
    note_version(transfer.name, transfer.store_version);
    return result;
}

value_transfer replica::transfer_fleet(std::uint64_t have) const {
    value_transfer transfer{
        std::string(fleet_value), m_fleet.revision, store_version(fleet_value), false, {}};
    const bool covered =
        have > 0 && std::any_of(m_deltas.begin(), m_deltas.end(),
                                [have](const fleet_delta& delta) { return delta.base == have; });
    if (covered) {
        transfer.is_delta = true;
        transfer.bytes = encode_archive(joined(m_deltas, have));
    } else {
        transfer.bytes = encode_fleet(m_fleet);
    }
    return transfer;
}

value_reply replica::answer(const value_request& request) const {
    value_reply reply;
    for (const auto& [name, known] : m_revisions) {
        const auto item = request.have.find(name);
        const std::uint64_t have = item == request.have.end() ? 0 : item->second;
        if (known <= have) {
            continue;
        }
        if (name == fleet_value) {
            reply.values.push_back(transfer_fleet(have));
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
