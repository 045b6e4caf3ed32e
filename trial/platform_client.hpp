#pragma once

#include "net/net.hpp"
#include "policy/policy.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace siskinpaddle {

/// Result of a call to the platform.
enum class store_status : std::uint8_t {
    ok,
    unchanged, ///< A watch ended without a change, or the VM list is the same as at the last read.
    absent,
    conflict,    ///< The condition didn't hold; nothing was changed.
    unreachable, ///< Confirmed as not applied.
    unknown      ///< No complete answer arrived: the call may have been applied.
};

template <>
inline constexpr std::array enum_names<store_status>{
    std::pair{store_status::ok, std::string_view("ok")},
    std::pair{store_status::unchanged, std::string_view("unchanged")},
    std::pair{store_status::absent, std::string_view("absent")},
    std::pair{store_status::conflict, std::string_view("conflict")},
    std::pair{store_status::unreachable, std::string_view("unreachable")},
    std::pair{store_status::unknown, std::string_view("unknown")}};

/// A stored value and its version in the store; version 0 means that the key is absent.
struct stored_value {
    std::uint64_t version = 0;
    std::string bytes;
};

struct store_answer {
    store_status status = store_status::unreachable;
    stored_value value; ///< Set when a read ends with `ok`; after a write only the version is set.
};

/// Result of a request to acquire a lease.
struct lease_answer {
    store_status status = store_status::unreachable;
    bool is_held = false;
    std::string holder;
    std::uint64_t term = 0;
};

/// Counts of this process's calls to the platform, by kind.
struct platform_usage {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t lists = 0;
};

/// HTTP client of the platform. Every call ends in exactly one callback from the event loop. Only update()
/// retries; for the other calls only the caller knows whether a retry is safe.
class platform_client {
  public:
    platform_client(event_loop& loop, endpoint platform, std::string caller);

    using store_callback = std::function<void(store_answer)>;

    void get(const std::string& key, store_callback done);

    /// Waits at most `wait` for a version above `after`.
    void watch(const std::string& key, std::uint64_t after, milliseconds wait, store_callback done);

    /// Writes `bytes` if the stored version is `expected` (0: absent). With `ttl` above 0 the platform
    /// deletes the value after that time.
    void put(const std::string& key, std::uint64_t expected, std::string bytes, milliseconds ttl,
             store_callback done);

    /// Returns the next value, built from the current one, or nothing if no write is needed.
    using mutation = std::function<std::optional<std::string>(const stored_value& current)>;

    /// Reads the value, applies `change` and writes the result with a compare-and-swap, until a write
    /// succeeds or `change` returns nothing. Reads again after a conflict or a failed call. `change` must
    /// return nothing for a value that already contains its effect, so that the next read shows whether a
    /// write whose answer was lost has been applied. `known` saves the first read. Reports `ok` and the
    /// stored value, or the status of the last failed attempt.
    void update(const std::string& key, std::optional<stored_value> known, mutation change,
                store_callback done);

    void acquire_lease(const std::string& name, milliseconds ttl, std::function<void(lease_answer)> done);
    void release_lease(const std::string& name);

    /// Reads the VM list. Reports `unchanged` with an empty list if the list is the same as at the last read.
    void list_vms(std::function<void(store_status, std::vector<listed_vm>)> done);
    /// Makes the next list_vms() read the whole list even if it is unchanged.
    void reset_list_tag() { m_list_tag.clear(); }
    /// Size of the list that was read last, in bytes.
    [[nodiscard]] std::size_t list_bytes() const noexcept { return m_list_bytes; }
    void reboot(const reboot_action& action, std::function<void(store_status)> done);

    [[nodiscard]] const platform_usage& usage() const noexcept { return m_usage; }
    [[nodiscard]] std::uint64_t transferred_bytes() const noexcept {
        return m_client.bytes_sent() + m_client.bytes_received();
    }
    /// Whether the call that ended last got an answer with a code below 500.
    [[nodiscard]] bool is_reachable() const noexcept { return m_is_reachable; }

  private:
    struct update_state;

    void send_call(http_call request, std::function<void(store_status, http_answer)> done);
    void read_for_update(const std::shared_ptr<update_state>& state);
    void write_update(const std::shared_ptr<update_state>& state);
    void retry_update(const std::shared_ptr<update_state>& state, store_status failure);
    [[nodiscard]] http_call make_request(std::string method, std::string target) const;

    event_loop& m_loop;
    endpoint m_platform;
    std::string m_caller;
    http_client m_client;
    platform_usage m_usage;
    random_source m_random;
    bool m_is_reachable = true;
    std::string m_list_tag;
    std::size_t m_list_bytes = 0;
    lifetime m_lifetime;
};

} // namespace siskinpaddle
