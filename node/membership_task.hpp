#pragma once

#include "node/node_settings.hpp"
#include "node/watch_task.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace siskinpaddle::node {

/// A node as it registers itself.
struct node_record {
    std::string id;
    std::string incarnation; ///< Drawn at each start.
    std::string address;
    std::uint16_t port = 0;
    std::string availability_zone;
    double processor_share = 1; ///< Of a core.

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(id, incarnation, address, port, availability_zone, processor_share);
    }
};

/// Who owns a duty.
struct owner_record {
    node_record owner;
    std::uint32_t epoch = 0; ///< Counts the owners.

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(owner, epoch);
    }
};

/// A duty that this node owns.
struct ownership {
    std::string duty;
    std::uint32_t epoch = 0;
    std::int64_t token = 0; ///< Fencing token: the store's revision of the claim, so it only rises.
    bool was_previous_owner =
        false; ///< This node, perhaps an earlier process of it, was the last owner as well.
};

/// Keeps this node registered under a lease, knows the other nodes, and claims duties that nobody owns.
/// Not thread-safe.
///
/// A node owns a duty while its claim is the newest; whether others may have claimed it since is known only
/// while the node's lease is certain by its own clock (`certain_until`). Past that the owner may go on for a
/// bounded time with what fencing tokens protect; a successor waits out that time for VMs that it can't
/// reach.
class membership_task {
  public:
    struct handlers {
        std::function<void(const ownership&)> gained; ///< Owned from now on, or again under a new token.
        std::function<void(const std::string&)> lost; ///< Somebody else owns the duty.
        std::function<void()> store_recovered;        ///< The store answers again after a failure.
    };

    membership_task(event_loop& loop, const node_settings& settings, platform::store_client& store,
                    handlers on_change);

    void start();
    /// Duties that should have an owner.
    void set_duties(std::set<std::string> duties);
    /// Gives up one duty at once, so that another node can claim it.
    void release(const std::string& duty);
    /// Takes no more duties, and lets the others know that this node is no candidate any more.
    void stop_claiming();
    /// Ends the registration and all ownership; `done` is called once, answered or not.
    void leave(std::function<void()> done);

    [[nodiscard]] const node_record& self() const noexcept { return m_self; }
    [[nodiscard]] std::optional<node_record> owner_of(const std::string& duty) const;
    [[nodiscard]] bool owns(const std::string& duty) const { return m_owned.contains(duty); }
    /// Until when, by our own clock, nobody else can have claimed the duty; 0 if we don't own it.
    [[nodiscard]] timestamp confirmed_until(const std::string& duty) const;
    /// Until when we may act as its owner at all.
    [[nodiscard]] timestamp act_until(const std::string& duty) const;
    /// When the store last renewed our lease.
    [[nodiscard]] timestamp renewed_at() const noexcept { return m_renewed_at; }

    /// How long after the end of its lease an owner may still act.
    static constexpr milliseconds grace_after_lease = 4s;

  private:
    /// A duty that we own, and what proves it.
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
    [[nodiscard]] milliseconds claim_delay(const std::string& duty) const;
    [[nodiscard]] std::size_t claim_position(const std::string& duty) const;
    void claim(const std::string& duty);
    void handle_claim_answer(const std::string& duty, const owner_record& record,
                             const platform::store_answer& answer);
    void record_owner(const std::string& duty, const owner_record& record);
    void acquire_duty(const std::string& duty, const owner_record& record, std::int64_t revision);

    event_loop& m_loop;
    const node_settings& m_settings;
    platform::store_client& m_store;
    handlers m_handlers;
    node_record m_self;
    watch_task m_watch;
    std::unique_ptr<timer> m_renew_timer;
    std::unique_ptr<timer> m_claim_timer;
    std::int64_t m_lease = 0;
    timestamp m_lease_confirmed_until{0};
    timestamp m_renewed_at{0};
    timestamp m_started_at{0};
    timestamp m_registered_at{0};
    std::map<std::string, node_record> m_nodes;
    std::map<std::string, owner_record> m_owners;
    std::map<std::string, std::string> m_previous_owners; ///< Duty -> the owner before the present one.
    std::map<std::string, std::int64_t> m_owner_revisions;
    std::map<std::string, platform::store_item> m_live_keys; ///< Duty -> its key under the owner's lease.
    std::map<std::string, timestamp> m_vacant_since;
    std::map<std::string, owned_duty> m_owned;
    std::set<std::string> m_duties;
    std::set<std::string> m_pending_claims; ///< Claims on their way.
    bool m_claiming_enabled = true;
    bool m_renewal_failed = false;
    bool m_listed = false;
    bool m_leaving = false;
    lifetime m_lifetime;
};

} // namespace siskinpaddle::node
