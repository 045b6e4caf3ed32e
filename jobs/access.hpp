#pragma once

#include "jobs/fleet_configuration.hpp"

#include <optional>
#include <string>

namespace siskinpaddle::jobs {

/// When calls with an API key may be served.
struct access_settings {
    /// Whether the deployment has client accounts. A configuration without any then admits no call with a
    /// key, instead of every call without one.
    bool uses_accounts = false;
    /// Maximum age of the configuration by which a key is accepted; 0: unlimited.
    milliseconds max_configuration_age{0};
};

/// How well it is known that the configuration in force is the newest.
struct configuration_freshness {
    /// Time since it was known to be the newest, read after the call has arrived, on a clock that counts
    /// while the process is stopped.
    milliseconds age{0};
    /// Whether what it lacks may be refused: no newer version that should be in force by now can exist.
    bool is_confirmed = false;
};

enum class access_verdict : std::uint8_t {
    granted,
    unauthorized, ///< The call has no key, or one that the configuration doesn't contain.
    unconfirmed,  ///< The key may have been revoked by a newer configuration.
    outdated      ///< The configuration doesn't admit the call, and a newer one may do so.
};

struct access_decision {
    access_verdict verdict = access_verdict::unauthorized;
    std::string account; ///< The account of the key; empty for a public queue.
};

/// Decides whether a call to the queue may be served. `key`: the digest of its API key, if it has exactly
/// one. Pure; thread-safe.
///
/// Guards against keys that are revoked while this node can't hear of it, because it is cut off from the
/// store, or was frozen with the call in its socket: without the check of the age such a key would be served
/// for as long as that lasts. Another node may confirm a key that is `unconfirmed`, but not one that this
/// node doesn't know: with such a key this node would act on a newer configuration than its own, and with the
/// next call on its own again.
[[nodiscard]] access_decision check_access(const fleet_configuration& configuration,
                                           const queue_settings& queue, const std::optional<key_digest>& key,
                                           const configuration_freshness& freshness,
                                           const access_settings& settings);

/// Whether a job of the account `owner` may be shown to, repeated or cancelled by `account`. Jobs without an
/// account, from public queues or stored by a version of the program without accounts, are accessible by
/// all. Pure; thread-safe.
[[nodiscard]] bool may_access_job(const std::string& owner, const std::string& account) noexcept;

} // namespace siskinpaddle::jobs

template <>
inline constexpr std::array siskinpaddle::enum_names<siskinpaddle::jobs::access_verdict>{
    std::pair{siskinpaddle::jobs::access_verdict::granted, std::string_view("granted")},
    std::pair{siskinpaddle::jobs::access_verdict::unauthorized, std::string_view("unauthorized")},
    std::pair{siskinpaddle::jobs::access_verdict::unconfirmed, std::string_view("unconfirmed")},
    std::pair{siskinpaddle::jobs::access_verdict::outdated, std::string_view("outdated")}};
