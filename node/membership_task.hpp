#pragma once

#include "node/lease_timing.hpp"
#include "node/node_settings.hpp"
#include "node/watch_task.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace siskinpaddle::node {

/// The registration of a node.
struct node_record {
    std::string id;
    std::string incarnation; ///< Generated at each start.
    std::string address;
    std::uint16_t port = 0;
    std::string availability_zone;
    double processor_share = 1; ///< Fraction of a core.

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(id, incarnation, address, port, availability_zone, processor_share);
    }
};

/// The owner of a duty.
struct owner_record {
    node_record owner;
    std::uint32_t epoch = 0; ///< Incremented at each change of owner.

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(owner, epoch);
    }
};

/// A duty that this node owns.
struct ownership {
    std::string duty;
    std::uint32_t epoch = 0;
    std::int64_t token = 0; ///< Fencing token: the store's revision of the claim, so it only increases.
    bool was_previous_owner = false; ///< The previous owner was this node, possibly as an earlier process.
};

/// Keeps this node registered under a lease, tracks the other nodes, and claims duties that have no owner.
/// Not thread-safe.
///
/// A node owns a duty while its claim is the newest. Whether another node has claimed the duty since is known
/// only while the node's lease is valid by the node's own clock (`confirmed_until`). After that the owner may
/// continue, for a bounded time, with actions that fencing tokens protect; a successor waits until the end of
/// that time for VMs that it can't reach.
class membership_task {
  public:
    struct handlers {
        std::function<void(const ownership&)> gained; ///< Owned from now on, or again under a new token.
        std::function<void(const std::string&)> lost; ///< Another node owns the duty.
        std::function<void()> store_recovered;        ///< The store answers again after a failure.
        /// A pool record has changed in the store.
        std::function<void(const platform::store_item&)> pool_record_changed;
    };

    membership_task(event_loop& loop, const node_settings& settings, platform::store_client& store,
                    handlers on_change);

    void start();
    /// Sets the duties that should have an owner.
    void set_duties(std::set<std::string> duties);
    /// Releases one duty at once, so that another node can claim it.
    void release(const std::string& duty);
    /// Claims a duty whose owner, under this fencing token, can't reach the store. Has no effect if this node
    /// doesn't reach it either, or knows a newer owner. Calls `done` once, with whether the claim succeeded.
    void accept_handover(const std::string& duty, std::int64_t token, std::function<void(bool)> done);
    /// Ends this node's ownership of a duty that another node has claimed.
    void surrender(const std::string& duty);
    /// The other nodes, in the order in which they would claim the duty.
    [[nodiscard]] std::vector<node_record> successors(const std::string& duty) const;
    /// The fencing token under which this node owns the duty; 0 if it doesn't.
    [[nodiscard]] std::int64_t token_of(const std::string& duty) const;
    /// Stops claiming duties and removes the node's registration, so that other nodes no longer count this
    /// node as a candidate.
    void stop_claiming();
    /// Ends the registration and all ownership. `done` is called once, whether or not the store answers.
    void leave(std::function<void()> done);

    [[nodiscard]] const node_record& self() const noexcept { return m_self; }
    [[nodiscard]] std::optional<node_record> owner_of(const std::string& duty) const;
    [[nodiscard]] bool owns(const std::string& duty) const { return m_owned.contains(duty); }
    /// Until when, by this node's clock, no other node can have claimed the duty; 0 if this node doesn't own
    /// it.
    [[nodiscard]] timestamp confirmed_until(const std::string& duty) const;
    /// Until when this node may act as the duty's owner at all; 0 if this node doesn't own it.
    [[nodiscard]] timestamp act_until(const std::string& duty) const;
    /// When the last lease request that the store confirmed was sent.
    [[nodiscard]] timestamp renewed_at() const noexcept { return m_renewed_at; }

    /// When an answer of the store to a renewal of the lease was last overdue; the present time while one is.
    /// Renewals are small and frequent, and answered at once: one that is late shows that this node's link,
    /// or the store, holds answers up.
    [[nodiscard]] timestamp last_late_answer_at() const;

    /// How long after the end of its lease an owner may still act.
    static constexpr milliseconds grace_after_lease = 4s;

  private:
    /// A duty that this node owns and the lease that confirms it.
    struct owned_duty {
        ownership item;
        std::int64_t lease = 0; ///< The lease under which it was claimed.
        timestamp confirmed_until{0};
    };

    void request_lease();
    void handle_grant_answer(const platform::lease_answer& answer, timestamp asked_at);
    void register_self();
    void renew_lease();
    void handle_renew_answer(const platform::lease_answer& answer, timestamp asked_at);
    void apply_change(const platform::store_item& item);
    void apply_owner(const std::string& duty, const platform::store_item& item);
    void claim_vacant_duties();
    [[nodiscard]] bool can_claim() const;
    void finish_handover(const std::string& duty, bool claimed);
    [[nodiscard]] std::pair<double, std::uint64_t>
    claim_rank(const std::string& duty, const node_record& node, std::size_t duties) const;
    [[nodiscard]] milliseconds claim_delay(const std::string& duty) const;
    [[nodiscard]] std::size_t claim_position(const std::string& duty) const;
    void claim(const std::string& duty);
    void handle_claim_answer(const std::string& duty, const owner_record& record,
                             const platform::store_answer& answer);
    void record_owner(const std::string& duty, const owner_record& record);
    void acquire_duty(const std::string& duty, const owner_record& record, std::int64_t revision);

    event_loop& m_loop;
    const node_settings& m_settings;
    lease_timing m_timing;
    platform::store_client& m_store;
    handlers m_handlers;
    node_record m_self;
    watch_task m_watch;
    std::unique_ptr<timer> m_renew_timer;
    std::unique_ptr<timer> m_claim_timer;
    std::int64_t m_lease = 0;
    timestamp m_lease_confirmed_until{0};
    timestamp m_renewed_at{0};
    std::optional<timestamp> m_renewal_sent_at; ///< Unset while no renewal is in flight.
    timestamp m_last_late_answer_at{0};
    timestamp m_started_at{0};
    timestamp m_registered_at{0};
    std::map<std::string, node_record> m_nodes;
    std::map<std::string, owner_record> m_owners;
    std::map<std::string, std::string> m_previous_owners; ///< Duty -> id of the owner before the current one.
    std::map<std::string, std::int64_t> m_owner_revisions;
    std::map<std::string, platform::store_item> m_liveness_keys; ///< Duty -> its key under the owner's lease.
    std::map<std::string, timestamp> m_vacant_since;
    std::map<std::string, owned_duty> m_owned;
    std::set<std::string> m_duties;
    std::set<std::string> m_pending_claims; ///< Claims in flight.
    std::map<std::string, std::function<void(bool)>>
        m_handovers; ///< Duty -> who waits for this node's claim.
    bool m_claiming_enabled = true;
    bool m_renewal_failed = false;
    bool m_listed = false;
    bool m_leaving = false;
    lifetime m_lifetime;
};

} // namespace siskinpaddle::node
